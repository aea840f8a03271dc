@processes @long
Feature: Configuration changes under faults

  Scenario: two operators race
    Guards against a change that overwrites another without a conflict.
    Given a load of streams and orders
    When two operators race with different changes, 5 times
    Then each race has one winner and a conflict that names the key
    And the history keeps the promises

  Scenario: a change while the table service is down
    Guards against a change that is refused and comes into force later.
    Given a load of streams and orders
    When the table service is down
    And an operator changes a weight at entry-2
    Then the change is refused and nothing was written
    When the table service answers again
    And 6 s pass
    Then no node has another version
    And orders are answered again
    And the history keeps the promises, orders may be unknown

  Scenario: the table service drops answers during a change
    Guards against a wrong outcome where the answer to the write is lost.
    Given a load of streams and orders
    When the table service drops 4 answers after the effect
    And an operator changes a weight at entry-2
    Then what the operator was told is what is in force
    When the table service drops 12 answers after the effect
    And an operator changes a weight at entry-3
    And the table service answers again
    Then what the operator was told is what is in force
    And orders are answered again
    And the history keeps the promises, orders may be unknown

  Scenario: the table service goes down after a change
    Guards against an accepted change that is lost or reverted.
    Given a load of streams and orders
    When an operator changes a weight at entry-1
    Then the change is accepted within 6 s
    When the table service is down
    And 6 s pass
    Then every running node has it in force at that moment
    When the table service answers again
    Then orders are answered again
    And the history keeps the promises, orders may be unknown

  Scenario: a node starts afresh during a table outage
    Guards against a node that admits requests under an old configuration.
    Given a load of streams and orders
    When an operator changes a weight at entry-1
    Then the change is accepted within 6 s
    When the table service is down
    And node entry-3 starts afresh
    Then entry-3 gets the version within 10 s
    And a stream is answered by entry-3
    When the table service answers again
    Then orders are answered again
    And the history keeps the promises after a loss without notice

  @spoils
  Scenario: a change with one node cut off from the table and one paused
    Guards against a node that serves callers under a configuration that
    was replaced while the node could not be reached.
    Given a load of streams and orders
    When entry-1:table is cut off
    And node entry-3 is paused
    And an operator removes account buyers at entry-2
    Then the change is accepted within 6 s
    And every running node has it in force at that moment
    And entry-1 admits nothing for account buyers, 10 calls
    When node entry-3 continues
    Then entry-3 admits nothing for account buyers, 30 calls
    And entry-3 gets the version within 6 s
