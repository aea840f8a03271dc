Feature: Decisions of the request path

  Scenario Outline: A limit of an account holds over all nodes
    # Guards against admitting more units in a window than the users tolerate
    # (rule QUOTA) with unevenly spread connections, restarts of nodes, and
    # network partitions.
    When an account sends <times> times its limit through <nodes> nodes with "<trouble>"
    Then no window of 8 seconds holds more than the users tolerate

    Examples:
      | times | nodes | trouble          |
      | 7     | 7     | none             |
      | 7     | 7     | one busy node    |
      | 7     | 7     | cut in two       |
      | 7     | 7     | each cut off     |
      | 7     | 7     | restarts         |
      | 7     | 7     | all start again  |
      | 4     | 80    | none             |

  Scenario Outline: A large account does not pass its limit through many nodes
    # Guards against excess units that nodes admit between two reports, for an
    # account whose rate is large in relation to the users' tolerance.
    When an account of <rate> units a second sends <times> times its limit through 80 nodes
    Then no window of 8 seconds holds more than the users tolerate

    Examples:
      | rate   | times |
      | 350000 | 3     |
      | 350000 | 5     |

  Scenario: An account below its limit is not refused
    # Guards against refusals caused by dividing a limit among the nodes.
    When an account sends 0.9 times its limit through 7 nodes with "one busy node"
    Then none of its requests is refused

  Scenario: An account may use its whole limit at once after all nodes started
    # Guards against empty buckets after a restart of all nodes, which refuse
    # requests below the limit.
    When an account sends 0.8 times its limit through 7 nodes with "all start again"
    Then at most 2 in 100 of its requests are refused

  Scenario Outline: Retries stay within the budget of all nodes
    # Guards against retry storms, in which retries multiply the load after a
    # failure.
    When <share> of all requests fail once on 7 nodes at <rate> requests a second
    Then in no window of 10 seconds more repeats are sent than the budget allows

    Examples:
      | share | rate |
      | 1.0   | 10   |
      | 1.0   | 300  |
      | 0.3   | 100  |

  Scenario Outline: Selection of the backend server
    # Guards against urgent requests queued behind long prompts, against load
    # concentrated on one server, and against the use of failing servers.
    When a server is selected for a request of <tokens> prompt tokens among "<servers>"
    Then it goes to "<choice>"

    Examples:
      | tokens | servers                                     | choice |
      | 600    | a: idle; b: idle, far                       | a      |
      | 600    | a: backlog 90000; b: idle, far              | b      |
      | 600    | a: idle, avoided; b: idle, far              | b      |
      | 600    | a: idle, avoided                            | a      |
      | 9000   | a: idle; b: idle, cached 5000               | b      |
      | 9000   | a: idle; b: backlog 30000, cached 5000      | a      |
      | 9000   | a: full; b: full                            | none   |
      | 9000   | a: backlog 90000; b: backlog 90000          | none   |
      | 0      | a: running 6; b: running 1, far             | b      |

  Scenario: Waiting requests are served by rank, and late ones after those on time
    # Guards against serving requests that are already late while others become
    # late behind them.
    When requests of several ranks and ages are queued
    Then they are dispatched in the order of rank, late ones last

  Scenario: A request that waits too long is refused while its client can retry
    # Guards against requests that stay queued until their deadline.
    When a queued request finds no capacity
    Then it is refused halfway to its deadline

  Scenario Outline: Health follows the outcomes of requests
    # Guards against liveness checks that report a wrong state, and against
    # avoiding all servers of a service for a small share of errors.
    When a server has the outcomes "<outcomes>"
    Then it is "<state>" right after and "<later>" 10 seconds later

    Examples:
      | outcomes        | state   | later |
      | ssss            | used    | used  |
      | u               | avoided | used  |
      | us              | used    | used  |
      | uuuuuu          | avoided | used  |
      | ssssessssse     | used    | used  |
      | eeeeee          | avoided | used  |

  Scenario: A server that flaps is avoided for longer each time
    # Guards against flapping servers that fail requests at each recovery.
    Then each failure to reach a server doubles its avoidance time up to the maximum

  Scenario: One node at a time holds the duties, with growing fencing numbers
    # Guards against two holders with the same fencing number, and against a
    # holder that does not know that its term has ended (rule ONE).
    When the lease is contended by 5 nodes on 400 seeds with kills, freezes, lost responses and outages
    Then fencing numbers never decrease, none has two holders and no holder returns within a term

  Scenario: Reclaimable engines are ordered before on-demand ones are given up
    # Guards against giving up on-demand servers before reclaimable ones are
    # ordered. The operator's minimum holds for both kinds together, so such an
    # order is not accepted in full.
    When the servers of a service with reclaimable prices are planned
    Then reclaimable ones come before on-demand ones in each data centre

  Scenario Outline: Enough engines are left when all reclaimable ones go in turn
    # Guards against a service left without engines when data centres are
    # reclaimed in turn and no reclaimable engine can be ordered meanwhile: 0.27
    # of a calm day's requests were refused.
    When <running> requests are in progress and the data centres are reclaimed in turn
    Then enough servers are left each time
    And no on-demand server is kept once reclaimable ones are available again

    Examples:
      | running |
      | 30      |
      | 45      |
      | 90      |

  Scenario: Usage is added up over nodes and their restarts
    # Guards against counts that are lost when a node restarts.
    When nodes write their counts, one of them after a restart
    Then the sum has all requests and a window is reported once its rows are present

  Scenario Outline: Events are forwarded complete
    # Guards against merged or duplicated events when a stream is resumed.
    When a stream of 5 events arrives in chunks of <size> bytes and breaks after <bytes> bytes
    Then after the resumption each event has arrived once

    Examples:
      | size | bytes |
      | 1    | 70    |
      | 7    | 41    |
      | 50   | 90    |
      | 1000 | 12    |

  Scenario: Entries that lapsed in an outage serve only where no other is left
    # Guards against requests to servers that left while this node could not
    # reach the store (rule DRAIN), and against a service without servers after
    # an outage of the store.
    When entries lapse while this node can't reach the store
    Then servers with an entry are used first and the others until they expire

  Scenario Outline: A relayed table is current only if a follower confirms it
    # Guards against accepting revoked keys and using leaving servers on a node
    # that does not read the store itself and has missed changes.
    Given a node that does not follow the store and has a table up to version 10
    When <event>
    Then the node <reads> the store and the confirmation time of its table is <time>

    Examples:
      | event                                                 | reads         | time |
      | a follower responds to a query of 5.0 with version 9  | does not read | 4.8  |
      | a follower responds to a query of 5.0 with version 12 | reads         | none |
      | changes from 10 to 14 arrive                          | does not read | none |
      | changes from 12 to 14 arrive                          | reads         | none |
      | no follower responds                                  | reads         | none |
      | a response to a query of 2.0 is processed at 9.0      | reads         | 1.8  |
      | a follower has read the whole table at version 15     | reads         | none |

  Scenario Outline: Long prompts go to engines where they delay few streams
    # Guards against streams that are late because the long prompt of another
    # request is prefilled at their engine: 9 in 100 were late on a calm day
    # of the grown deployments.
    When <rate> requests a second with some long prompts arrive at <engines> engines
    Then at most half as many streams have too long a pause as without a pause target

    Examples:
      | engines | rate |
      | 40      | 60   |
      | 100     | 200  |

  Scenario: Changes of other tables do not look like missed changes
    # Guards against all nodes reading the store at each change: changes of
    # other tables raise the store's version too, which looked like missed
    # changes (3,175 calls on a calm day).
    Given a node that does not follow the store and has a table up to version 10
    When a follower gets no changes up to version 20 and then a change at 22
    Then the node does not read the store and the confirmation time of its table is none
