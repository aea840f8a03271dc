@processes @long
Feature: Existing connections stop carrying data while new ones work

  Scenario: connections to an engine go silent
    Guards against streams that wait on a dead connection.
    Given a load of streams and orders
    When existing connections of engine-1 go silent while new ones work
    And 4 s pass
    Then a stream was resumed or moved
    And the history satisfies the guarantees

  Scenario: connections to a plain service go silent
    Guards against orders that are sent twice after a connection goes silent.
    Given a load of streams and orders
    When existing connections of app-1 go silent while new ones work
    And 4 s pass
    Then orders succeed again
    And the history satisfies the guarantees, unknown order outcomes allowed

  Scenario: connections to the table service go silent
    Guards against a node that keeps using dead connections to the table
    service.
    Given a load of streams and orders at entry-1
    When existing connections of entry-1:table go silent while new ones work
    And 6 s pass
    Then orders succeed again
    And the history satisfies the guarantees, unknown order outcomes allowed

  Scenario: connections to a peer go silent
    Guards against a node that loses contact with a peer undetected.
    Given a load of streams and orders
    When existing connections of entry-2:peers go silent while new ones work
    And an operator changes a weight at entry-1
    Then the change is accepted within 6 s
    And every running node already has the change in force
    And the history satisfies the guarantees
