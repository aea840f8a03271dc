Feature: Speeds of servers and work that load reports do not show yet

  Scenario Outline: All nodes know the speed of a server that each seldom uses
    # Load: 60 engines on uneven hosts behind 70 nodes, each of which has a few
    # streams of each engine. Speeds are needed closely enough to tell the
    # hosts apart, and short spells must not count as speed.
    Given <nodes> nodes that share measurements of servers of slowness "<hosts>"
    When each server serves <streams> streams from all nodes with spells of 2.5 in <share> of 100
    Then every node knows each slowness relative to the median within 20 in 100

    Examples:
      | nodes | hosts                   | streams | share |
      | 2     | 0.7 1.0 1.7             | 20      | 0     |
      | 20    | 0.7 1.0 1.0 1.0 1.7     | 20      | 10    |
      | 70    | 0.7 0.8 1.0 1.2 1.4 1.7 | 40      | 10    |

  Scenario Outline: All nodes know the lasting speed that servers state
    # Guards against a slow host that counts as usual at a node which seldom
    # hears from it. Load: as above, engines that state how slow they are at
    # the moment.
    Given <nodes> nodes that share measurements of servers of slowness "<hosts>"
    When each server states its slowness in <answers> answers to all nodes with spells of 2.5 in <share> of 100
    Then every node knows each stated slowness within 20 in 100

    Examples:
      | nodes | hosts                   | answers | share |
      | 2     | 0.7 1.0 1.7             | 40      | 0     |
      | 70    | 0.7 0.8 1.0 1.2 1.4 1.7 | 60      | 10    |

  Scenario: A momentary speed returns to the lasting one
    # Load: a host that is slow for good, and a spell that is over.
    Then a stated slowness of 3.0 counts as 1.7 again 20 s later at a host of lasting slowness 1.7

  Scenario: Equal servers stay equal while one node measures each once
    # Load: the first seconds of a node, or of a new server. One sample says
    # little, so it moves the choice little.
    Given 1 nodes that share measurements of servers of slowness "1.0 1.0 3.0"
    When one pause is measured at each server
    Then no server is known to be more than 1.3 times as slow as another

  Scenario: Prompts of others between the events are no speed of the server
    # Load: streams beside prompts that are prefilled in between.
    When a stream has pauses of 40 ms, every third of them 300 ms
    Then the pause that is measured is 40 ms

  Scenario: A node that is cut off forgets what it can't know
    # Failure: the link of a node. The others' part drops out of the sums at
    # once, its own samples lose their weight; the usual speed is assumed.
    Given 8 nodes that share measurements of servers of slowness "0.7 1.0 1.7"
    When each server serves 24 streams from all nodes with spells of 2.5 in 0 of 100
    And the first node hears no others any more
    Then it knows no work that others place
    And 30 s later all servers count as usual to it

  Scenario: The prefill rate is known to nodes that have timed no prompt
    # Load: the first requests of a node that has just been added.
    Given 5 nodes that share measurements of servers of slowness "1.0"
    When 40 prompts of 5000 tokens are prefilled at 120 tokens per ms, by one of them
    Then the other nodes assume between 90 and 130 tokens per ms

  Scenario Outline: Prompts of a jump spread although no report shows them
    # Load: a jump, or a reclaim that leaves few engines, on 70 nodes. Between
    # two reports 100 prompts and more are placed; the engine with the lowest
    # figures would get them all.
    When 70 nodes place <prompts> prompts of <tokens> tokens by one report of engines "<engines>"
    Then no engine is more than twice as far behind as the engines on average

    Examples:
      | prompts | tokens | engines                         |
      | 200     | 3000   | 12 idle                         |
      | 200     | 3000   | 6 idle, 6 with 20000            |
      | 100     | 5000   | 4 of slowness 0.7, 4 of slowness 1.7 |
      | 160     | 2000   | 8 with 30000, 1 idle            |

  Scenario: A single request goes where the cost is least
    # Load: calm. Little is unseen, so that the reports decide.
    When 1 nodes place 1 prompts of 2000 tokens by one report of engines "1 idle, 9 with 30000"
    Then the idle engine is chosen

  Scenario: A preferred engine is left once it is behind
    # Load: one key with much of the traffic. The engines that have its prefix
    # save work until the wait there is longer than reading it again.
    Then the preferred engine among 10 is chosen with 1000 tokens ahead
    And the preferred engine among 10 is not chosen with 60000 tokens ahead
