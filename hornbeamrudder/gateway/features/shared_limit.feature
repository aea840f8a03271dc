Feature: One limit for clients and backend servers

  Without a network: which side gives when both together hold too much.

  Scenario Outline: Each side may use what the other one leaves
    # Guards against a limit that stops one side while the other needs little;
    # the load is a large share of one side.
    Given a limit of 100 bytes of which <other> are held by the other side
    Then <room> may be held by a side

    Examples:
      | other | room |
      | 0     | 75   |
      | 20    | 75   |
      | 40    | 60   |
      | 90    | 10   |

  Scenario Outline: The side that holds most gives first
    # Guards against a crowd of clients that stops answers of servers, answers
    # without end that stop clients, and both at once that end the process.
    # "busy" clients have requests in progress and give nothing.
    Given a limit of 100 bytes with <clients> bytes of "<kind>" clients and <servers> of servers
    When the limit is settled
    Then clients hold <left> bytes and servers <kept>

    Examples:
      | clients | kind    | servers | left | kept |
      | 60      | stalled | 40      | 60   | 40   |
      | 80      | stalled | 0       | 75   | 0    |
      | 0       | stalled | 80      | 0    | 75   |
      | 75      | stalled | 30      | 70   | 30   |
      | 30      | stalled | 75      | 30   | 70   |
      | 90      | stalled | 80      | 50   | 50   |
      | 70      | busy    | 60      | 70   | 30   |
      | 90      | busy    | 60      | 90   | 25   |
      | 60      | busy    | 70      | 60   | 50   |

  Scenario: A reduction that charges the account does not start another one
    # Guards against closing a client whose refusal is held too, and is closed
    # for it again without end.
    Given a limit of 100 bytes with 90 bytes of "charging" clients and 0 of servers
    When the limit is settled
    Then it was reduced once

  Scenario: An ended answer is not held by its reader
    # Guards against answers that stay in memory after they were ended, because
    # their readers wait for clients that do not read.
    Given a connection to a server whose reader waits while 20 pieces arrive
    When its node holds too many bytes
    Then the reader gets the head and the failure, and nothing is held

  Scenario: Under pressure a server is read no further than its client
    # Guards against reading ahead for many clients that do not read.
    Given a connection to a server whose reader waits while 20 pieces arrive
    Then reading has stopped after 11 pieces, past half of the room
