Feature: Calls of all nodes to the platform's store

  Scenario Outline: The calls to the store do not grow faster than the nodes
    # Guards against nodes that all read the term of the duties, follow the
    # store or write usage rows, as 195 did (34,172 calls on the day trouble-1
    # of beaudoin-sonnette-large), and against an outage that multiplies calls.
    Given <count> nodes with a shared store
    When all of them start
    Then each node makes at most 9 calls beside those of calm time
    When 6 s pass
    Then all nodes together make at most <calm> calls
    And each configuration has been confirmed within 3.1 s
    When the store is down for 5 s
    Then each node makes at most 12 calls
    When the store is back for 4 s
    Then each node makes at most 5 calls beside those of calm time
    And each configuration has been confirmed within 3.1 s
    When a third of the nodes is turned away by the store for 5 s
    Then all nodes together make at most <partial> calls
    And each node that is not turned away has confirmed its configuration within 3.1 s
    When 20 nodes at most are stopped and started in turn
    Then each restart costs at most 18 calls
    And the usage reports of all windows are complete

    Examples: full mesh
      | count | calm | partial |
      | 7     | 130  | 130     |

    Examples: hubs
      | count | calm | partial |
      | 24    | 60   | 120     |
      | 81    | 60   | 160     |
      | 195   | 60   | 200     |

    @long
    Examples: more nodes than a deployment has today
      | count | calm | partial |
      | 1000  | 60   | 500     |

  Scenario Outline: No table counts as confirmed later than the store answered
    # Guards against revoked keys that are accepted because nodes confirm old
    # tables to each other while the store is down.
    Given <count> nodes with a shared store
    When the store is down from a moment on, and <lost> % of the datagrams are lost
    Then no node has a configuration that was confirmed after that moment
    And each node that had one refuses keys 3.1 s after it

    Examples:
      | count | lost |
      | 7     | 1    |
      | 24    | 1    |
      | 24    | 30   |

  Scenario: A time that is stated on another node's clock has passed there
    # Guards against confirmations that state a later time than the one at
    # which the store was asked, for nodes whose clocks differ.
    When 300 messages of nodes with different clocks arrive after delays and pauses
    Then no bound on a clock is later than that clock
    And no bound is earlier than the clock by more than the shortest delay since the start

  Scenario: Usage counts survive the nodes that gather them
    # Guards against counts lost with the node that counted them, or with the
    # hub that had them.
    Given 24 nodes with a shared store
    When all of them start
    And the first hub and a node that is no hub are killed 0.5 s before and 0.5 s after the end of a window
    Then the usage reports of all windows are complete but for at most 5 %

  Scenario Outline: Nodes learn that a server leaves while hubs are turned away
    # Guards against requests to leaving servers later than the drain time
    # allows (rule DRAIN), on nodes that reach the store but leave it to hubs
    # that do not: tagayan-quiz-grown trouble-1, small twin.
    Given <count> nodes with a shared store
    When <turned> is turned away by the store, and a server says <after> s later that it leaves
    Then each node that is not turned away knows it within 3 s

    Examples:
      | count | turned               | after |
      | 24    | both following hubs  | 2.5   |
      | 24    | both following hubs  | 4.4   |
      | 24    | both following hubs  | 5.3   |
      | 81    | both following hubs  | 4.4   |
      | 24    | the first hub        | 4.4   |
      | 24    | each of the hubs     | 4.4   |

  Scenario: Tables are read whole at once when the store has forgotten its history
    # Guards against watches that wait for a probe whose answer told that the
    # history is gone. Failure: the store resets its connections, and has
    # forgotten its history when it is asked again.
    When a store resets the calls of 4 watches and forgets its history
    Then each of the 4 tables is read whole within 2 s
