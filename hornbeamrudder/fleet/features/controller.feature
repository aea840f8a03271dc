Feature: Loop of the fleet lease holder

  Scenario: Only the lease holder starts hosts
    # Guards against two nodes that both replace the same hosts.
    Given a controller without the lease
    When it runs 5 steps
    Then no host was started
    When it receives the lease and runs 5 steps
    Then the wanted hosts were started once each

  Scenario: A holder that loses the lease within a step orders nothing more
    # Guards against a paused holder that acts on old observations.
    Given a controller that loses the lease after its first check
    When it runs 5 steps
    Then no host was started

  Scenario: A start whose answer is lost is not ordered twice
    # Guards against paying for hosts that were started by a lost answer.
    Given a controller whose first 3 start answers are lost
    When it runs 5 steps
    Then the wanted hosts were started once each

  Scenario: Without order ids lost answers start too many hosts
    # Shows that the order ids prevent the second start above.
    Given a controller whose first 3 start answers are lost
    And a cloud that ignores order ids
    When it runs 5 steps
    Then more hosts than wanted were started

  Scenario: An outage of the cloud API leaves the fleet unchanged
    # Guards against taking an outage for refusals, which would delay the
    # starts after its end.
    Given a controller whose cloud API is down
    When it runs 5 steps
    Then no host was started
    When the cloud API is back and it runs 2 steps
    Then the wanted hosts were started once each

  Scenario: A surplus host is drained, and stopped when it is idle
    # Guards against interrupting requests when demand falls.
    Given a controller whose hosts all serve
    When demand falls for 200 seconds
    Then surplus hosts were taken out of service and none was stopped
    When the drained hosts report no work
    Then exactly the drained hosts were stopped

  Scenario: A new holder finishes the drains of the former one
    # Guards against hosts that stay drained and paid for after a failover.
    Given a controller whose hosts all serve
    When demand falls for 200 seconds
    And another controller takes over
    And the drained hosts report no work
    Then exactly the drained hosts were stopped

  Scenario: Refused zones of the cloud stand-in are replaced in one step
    # Guards against a client and a controller that disagree on refusals.
    Given a controller with the cloud stand-in, where "portmore" is refused
    When it runs 1 steps
    Then the hosts that the cloud stand-in runs cover the need elsewhere

  Scenario: A holder whose lease was out of sight for a moment starts hosts
    # Guards against order ids that are used again: the cloud API would
    # answer with the host of the earlier order and start nothing.
    Given a controller whose hosts all serve
    When its lease is out of sight for a step and a host is lost
    Then the wanted hosts were started once each
