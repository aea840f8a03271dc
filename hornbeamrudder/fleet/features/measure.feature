Feature: Simulation of placement policies

  Scenario: Placement keeps the urgent slots after the loss of the largest zone
    # Guards against a control loop that does not keep the spread over zones
    # that each plan has.
    Given runs of 1 hour with seeds 1 and 2
    Then the policy "placement" keeps the urgent slots after a zone loss
    And the policy "cheapest only" does not
    And the policy "placement" costs less than the policy "on-demand"

  Scenario: Results are reproducible from the seed
    # Guards against results that depend on more than the seed.
    Then two runs with seed 4 give the same results
