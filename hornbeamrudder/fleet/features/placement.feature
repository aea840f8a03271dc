Feature: Placement of hosts

  Scenario: Urgent capacity survives the loss of any one zone
    # Guards against losing urgent service with a whole zone.
    Given 120 random needs and sets of offers in 2 to 5 zones
    When hosts are placed
    Then every plan covers the total
    And after the loss of any zone every plan covers the urgent slots

  Scenario: The cheapest hosts alone do not survive the loss of a zone
    # Shows that the spread, not chance, gives the result above.
    Given 120 random needs and sets of offers in 2 to 5 zones
    When hosts are placed by price alone
    Then some plans lose urgent slots with a zone

  Scenario: No plan that meets the need costs less
    # Guards against a placement that pays more than it has to.
    Given 40 small random needs and sets of offers in 2 to 3 zones
    When hosts are placed
    Then an exhaustive search finds no cheaper plan

  Scenario: One zone alone is used in full and reported
    # Guards against starting nothing where the need cannot be met.
    Given offers in one zone only
    When hosts are placed
    Then the plan covers the total and states that it does not survive

  Scenario: A small change of price moves no running host
    # Guards against replacing hosts at each change of price.
    Given offers in two zones whose prices differ by 5 in 100
    Then hosts that run in the dearer zone are kept, without them they are not

  Scenario: Slots for the latency target
    # Guards against a fleet in which more urgent requests wait too long.
    Then a simulated queue with the computed slots meets the latency target
    And a simulated queue with 3 slots fewer does not
