Feature: Control loop of the fleet lease holder

  Scenario: Only the lease holder starts hosts
    # Guards against two nodes that start replacements for the same hosts.
    Given a controller without the lease
    When it runs 5 steps
    Then no host was started
    When it receives the lease and runs 5 steps
    Then the desired hosts were started once each

  Scenario: A holder that loses the lease during a step sends no more orders
    # Guards against a paused holder that acts on outdated observations.
    Given a controller that loses the lease after its first check
    When it runs 5 steps
    Then no host was started

  Scenario: A start whose response is lost does not start a second host
    # Guards against paying for extra hosts when the response to a start is
    # lost.
    Given a controller whose first 3 start responses are lost
    When it runs 5 steps
    Then the desired hosts were started once each

  Scenario: Without order ids lost responses start too many hosts
    # Shows that the order ids prevent the second start in the scenario above.
    Given a controller whose first 3 start responses are lost
    And a cloud that ignores order ids
    When it runs 5 steps
    Then more hosts than desired were started

  Scenario: An outage of the cloud API leaves the fleet unchanged
    # Guards against treating an outage as refusals, whose backoff would delay
    # starts after the outage.
    Given a controller whose cloud API is down
    When it runs 5 steps
    Then no host was started
    When the cloud API is back and it runs 2 steps
    Then the desired hosts were started once each

  Scenario: A surplus host is drained, and stopped when it is idle
    # Guards against interrupted requests when demand drops.
    Given a controller whose hosts all serve
    When demand stays low for 200 seconds
    Then surplus hosts were taken out of service and none was stopped
    When the drained hosts report no work
    Then exactly the drained hosts were stopped

  Scenario: A new holder completes the drains of its predecessor
    # Guards against drained hosts that stay billed after a failover.
    Given a controller whose hosts all serve
    When demand stays low for 200 seconds
    And another controller takes over
    And the drained hosts report no work
    Then exactly the drained hosts were stopped

  Scenario: Starts refused in one zone are made in other zones in one step
    # Guards against a cloud client and a controller that classify refusals
    # differently.
    Given a controller with the cloud stand-in, where "portmore" is refused
    When it runs 1 steps
    Then the hosts in the cloud stand-in cover the requirement in other zones

  Scenario: A holder starts hosts after its lease was unconfirmed for a step
    # Guards against reused order ids, for which the cloud API returns the host
    # of the earlier order and starts nothing.
    Given a controller whose hosts all serve
    When its lease is unconfirmed for a step and a host is lost
    Then the desired hosts were started once each
