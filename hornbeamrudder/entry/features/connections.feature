@processes @long
Feature: Connections that go silent while new ones work

  Scenario: connections to an engine go silent
    Guards against streams that wait for a connection that is dead.
    Given a load of streams and orders
    When open connections of engine-1 go silent and new ones work
    And 4 s pass
    Then a stream was resumed or moved
    And the history keeps the promises

  Scenario: connections to a plain service go silent
    Guards against orders that are sent again after a silent connection.
    Given a load of streams and orders
    When open connections of app-1 go silent and new ones work
    And 4 s pass
    Then orders are answered again
    And the history keeps the promises, orders may be unknown

  Scenario: connections to the table service go silent
    Guards against a node that keeps using dead connections to the table.
    Given a load of streams and orders at entry-1
    When open connections of entry-1:table go silent and new ones work
    And 6 s pass
    Then orders are answered again
    And the history keeps the promises, orders may be unknown

  Scenario: connections to a peer go silent
    Guards against a node that is out of the exchange without noticing.
    Given a load of streams and orders
    When open connections of entry-2:peers go silent and new ones work
    And an operator changes a weight at entry-1
    Then the change is accepted within 6 s
    And every running node has it in force at that moment
    And the history keeps the promises
