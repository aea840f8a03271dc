Feature: Measurement of policies in virtual time

  Scenario: Placement keeps the urgent slots when the largest zone is lost
    # Guards against a loop of placement and replacement that loses in
    # operation the spread that each plan has.
    Given runs of 1 hour with seeds 1 and 2
    Then the policy "placement" keeps the urgent slots at the loss of a zone
    And the policy "cheapest only" does not
    And the policy "placement" costs less than the policy "on-demand"

  Scenario: A seed gives the same figures again
    # Guards against figures that cannot be reproduced.
    Then two runs with seed 4 give the same figures
