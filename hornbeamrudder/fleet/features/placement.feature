Feature: Placement of hosts

  Scenario: Urgent capacity remains after the loss of any one zone
    # Guards against too few slots for urgent requests after a zone loss.
    Given 120 random requirements and sets of offers in 2 to 5 zones
    When hosts are placed
    Then every plan covers the total
    And after the loss of any zone every plan covers the urgent slots

  Scenario: The cheapest hosts alone do not cover the loss of a zone
    # Shows that the spread over zones causes the result above, not chance.
    Given 120 random requirements and sets of offers in 2 to 5 zones
    When hosts are placed by price alone
    Then some plans lose urgent slots with a zone

  Scenario: No plan that meets the requirement costs less
    # Guards against a placement that costs more than necessary.
    Given 40 small random requirements and sets of offers in 2 to 3 zones
    When hosts are placed
    Then an exhaustive search finds no cheaper plan

  Scenario: A single zone covers the total, and the plan reports the risk
    # Guards against starting no hosts where the requirement cannot be met.
    Given offers in one zone only
    When hosts are placed
    Then the plan covers the total and reports that it tolerates no zone loss

  Scenario: A small price difference does not move running hosts
    # Guards against replacing hosts at every price change.
    Given offers in two zones whose prices differ by 5%
    Then running hosts in the more expensive zone are kept only with the discount

  Scenario: The computed slots meet the latency target
    # Guards against a fleet too small for the latency target.
    Then a simulated queue with the computed slots meets the latency target
    And a simulated queue with 3 slots fewer does not
