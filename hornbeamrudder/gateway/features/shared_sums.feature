Feature: Sums of figures over all nodes

  Scenario Outline: Every node knows the sums over all nodes
    # Guards against counting a node twice or not at all, with datagrams that
    # are lost and with hubs that add up for the others.
    Given <nodes> nodes that publish figures
    When 4 seconds pass for the sums
    Then every node knows the sums over all nodes

    Examples:
      | nodes |
      | 7     |
      | 80    |

  Scenario Outline: Figures of a node that is gone leave the sums
    # Guards against sums that keep the part of a dead node.
    Given <nodes> nodes that publish figures
    When 4 seconds pass for the sums
    And node <lost> is lost without a word
    And 8 seconds pass for the sums
    Then every node knows the sums over all nodes

    Examples:
      | nodes | lost |
      | 7     | 3    |
      | 80    | 33   |

    Examples: a hub
      | nodes | lost |
      | 80    | 0    |
      | 80    | 10   |

  Scenario: Half of the nodes are cut off
    # Guards against nodes that go on with the sums of the other half.
    Given 80 nodes that publish figures
    When 4 seconds pass for the sums
    And the nodes from 40 on are cut off for 8 seconds
    Then each node knows the sums over its own half
    When 8 seconds pass for the sums
    Then every node knows the sums over all nodes

  Scenario: Loads and limits don't wait behind sums
    # Guards against limits of accounts that turn strict since the digests of
    # a hub with a slow link arrive late behind large sums.
    Given 80 nodes that publish figures
    When 4 seconds pass for the sums
    Then each hub sends all digests of loads before those of sums

  Scenario: Nodes that publish nothing exchange no sums
    # Guards against traffic between nodes for parts that are not in use.
    Given 80 nodes
    When 4 seconds pass for the sums
    Then no datagram with sums was sent

  Scenario Outline: Figures of another writer are no sums
    # Guards against failing on datagrams of another version or program.
    Then the datagram <fields> with sums is malformed

    Examples:
      | fields                                     |
      | [9]                                        |
      | [9, "n1", 1, false, 5]                     |
      | [9, "n1", 1, false, [["t", [[[], [1]]]]]]  |
      | [9, "n1", 1, false, [["t", [["k", "no"]]]]] |
