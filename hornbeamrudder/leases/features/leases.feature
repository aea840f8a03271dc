Feature: Leases

  Scenario: Faults at random times with drifting clocks
    # Guards against two holders that act at once, and a lease nobody gets.
    When a lease runs on 100 seeds with 6 faults each
    Then no two nodes act at once and a node holds the lease at the end

  Scenario: Pairs of faults at the steps of the holder
    # Guards against faults between a write and its answer.
    When a lease runs with each pair of faults at 60 early steps
    Then no two nodes act at once and a node holds the lease at the end

  Scenario Outline: The proof fails without <mechanism>
    # Guards against a proof that cannot see the fault it is there for.
    When the mechanism "<mechanism>" is off
    Then the proof finds "<fault>"

    Examples:
      | mechanism                   | fault                 |
      | drift margin                | after its successor   |
      | check of the clock          | after its successor   |
      | wait of a full term         | after its successor   |
      | new fencing number          | has two holders       |
      | count from before the write | after its successor   |

  Scenario Outline: The checker rejects <actions>
    # Guards against a checker that accepts everything.
    Given actions "<actions>" such as node and fencing number
    Then the proof finds "<fault>"

    Examples:
      | actions  | fault               |
      | a1 b2 a1 | after its successor |
      | a1 b1    | has two holders     |

  Scenario: A released lease passes on at once
    # Guards against threads that differ from the decisions.
    Given two nodes on threads that want a lease
    When the holder releases it
    Then the other node holds it with the next fencing number
