Feature: Leases

  Scenario: Faults at random times with drifting clocks
    # Guards against two holders that act at the same time, and against a
    # lease that no node acquires after the faults have ended.
    When a lease is simulated on 100 seeds with 6 faults each
    Then no two holders overlap and a node holds the lease at the end

  Scenario: Pairs of faults at the steps of the holder
    # Guards against failures when faults occur between a write and its
    # response.
    When a lease is simulated with pairs of faults at 60 early steps
    Then no two holders overlap and a node holds the lease at the end

  Scenario Outline: The simulation detects the lack of <mechanism>
    # Guards against schedules and checks that cannot detect the faults that
    # the mechanism prevents.
    When the mechanism "<mechanism>" is disabled
    Then the violation "<violation>" is reported

    Examples:
      | mechanism                   | violation             |
      | drift margin                | after its successor   |
      | check of the clock          | after its successor   |
      | wait for a full term        | after its successor   |
      | new fencing number          | has two holders       |
      | term from the send time     | after its successor   |

  Scenario Outline: The checker rejects <actions>
    # Guards against a checker that accepts everything.
    Given the actions "<actions>", each a node and a fencing number
    Then the violation "<violation>" is reported

    Examples:
      | actions  | violation           |
      | a1 b2 a1 | after its successor |
      | a1 b1    | has two holders     |

  Scenario: A released lease is acquired without a wait for its expiry
    # Guards against faults in the threads and calls of the lease holder, which
    # the simulation does not cover.
    Given two nodes whose threads compete for a lease
    When the holder releases it
    Then the other node holds it with the next fencing number
