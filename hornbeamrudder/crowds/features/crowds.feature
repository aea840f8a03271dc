@alone
Feature: Clients outside the limits end no process

  # Each scenario starts a node of its own between stand-ins, with the smallest
  # memory that leaves room for the interpreter, and small limits on bodies.
  # The crowd is spread over a path with a route, one without, the readiness
  # check and the metrics.

  Scenario Outline: A crowd of clients leaves the node alive and within its host
    # Guards against a process that is ended for its memory, with the requests
    # of all other clients; the load is a crowd whose bytes are several times
    # the memory of the host.
    Given a node with 80 MB of memory and 1200 descriptors
    When <count> clients send "<kind>"
    Then the node answers a small and the largest request while they hold on
    And the node lives, within its memory and descriptors
    And the node answers a small and the largest request when they have left

    Examples:
      | kind                       | count |
      | whole bodies               | 120   |
      | bodies in pieces           | 120   |
      | bodies in chunks           | 120   |
      | chunks of one byte         | 60    |
      | bodies over the limit      | 240   |
      | chunks over the limit      | 120   |
      | heads of many fields       | 250   |
      | heads of many fields ahead | 60    |
      | bodies ahead               | 60    |
      | answers unread             | 160   |
      | trickled bodies            | 160   |

  Scenario Outline: A crowd of connections leaves descriptors to the node
    # Guards against a node that can't reach its store or servers, or accept an
    # ordinary client, because a crowd holds all descriptors.
    Given a node with 80 MB of memory and 300 descriptors
    When <count> clients send "<kind>"
    Then the node answers a small and the largest request while they hold on
    And the node lives, within its memory and descriptors
    And the node answers a small and the largest request when they have left

    Examples:
      | kind       | count |
      | half heads | 400   |
      | silent     | 400   |

  Scenario Outline: Clients and answers without end together leave the node within its host
    # Guards against two limits that hold alone but not together, and against
    # answers that stay in memory when they were ended; the load is half a crowd
    # of bodies, half clients that do not read what servers send without end.
    Given a node with 80 MB of memory and 1200 descriptors
    And engines that answer "<status>" and "<answer>" without end
    When 150 clients leave the answers unread and 60 send "whole bodies"
    Then the node answers a small and the largest request while they hold on
    And the node lives, within its memory and descriptors
    And the node answers a small and the largest request when they have left

    Examples:
      | status    | answer          |
      | 200 OK    | complete events |
      | 200 OK    | event           |
      | 500 Error | sized body      |

  @long
  Scenario Outline: A crowd at the limits of the sheets leaves room on the smallest host
    # Guards against limits that hold in small only; bodies of 4 MB and heads
    # of 16 KB, the smallest host of the sheets.
    Given a node with 160 MB of memory and 4100 descriptors, for bodies of 4194304 bytes
    When 150 clients send "<kind>"
    Then the node answers a small and the largest request while they hold on
    And the node lives, within 120 MB and its descriptors
    And the node answers a small and the largest request when they have left

    Examples:
      | kind                       |
      | whole bodies               |
      | bodies in pieces           |
      | bodies in chunks           |
      | chunks of one byte         |
      | bodies over the limit      |
      | chunks over the limit      |
      | heads of many fields       |
      | heads of many fields ahead |
      | bodies ahead               |
      | answers unread             |
      | half heads                 |
      | trickled bodies            |
      | silent                     |
