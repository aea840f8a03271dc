@processes @long
Feature: Configuration changes during failures

  Scenario: two operators submit changes concurrently
    Guards against a change that silently overwrites a concurrent one.
    Given a load of streams and orders
    When two operators submit conflicting changes concurrently, 5 times
    Then each time one change is accepted and the other conflicts on its key
    And the history satisfies the guarantees

  Scenario: a change while the table service is down
    Guards against a refused change that is applied later.
    Given a load of streams and orders
    When the table service is down
    And an operator changes a weight at entry-2
    Then the change is refused and nothing was written
    When the table service recovers
    And 6 s pass
    Then all nodes keep the previous version
    And orders succeed again
    And the history satisfies the guarantees, unknown order outcomes allowed

  Scenario: the table service loses responses during a change
    Guards against a wrong outcome when the response to the write is lost.
    Given a load of streams and orders
    When the table service drops 4 responses after applying the requests
    And an operator changes a weight at entry-2
    Then the result reported to the operator matches the active configuration
    When the table service drops 12 responses after applying the requests
    And an operator changes a weight at entry-3
    And the table service recovers
    Then the result reported to the operator matches the active configuration
    And orders succeed again
    And the history satisfies the guarantees, unknown order outcomes allowed

  Scenario: the table service fails after a change
    Guards against an accepted change that is lost or reverted.
    Given a load of streams and orders
    When an operator changes a weight at entry-1
    Then the change is accepted within 6 s
    When the table service is down
    And 6 s pass
    Then every running node already has the change in force
    When the table service recovers
    Then orders succeed again
    And the history satisfies the guarantees, unknown order outcomes allowed

  Scenario: a node is restarted during a table outage
    Guards against a node that admits requests under an outdated
    configuration.
    Given a load of streams and orders
    When an operator changes a weight at entry-1
    Then the change is accepted within 6 s
    When the table service is down
    And node entry-3 is restarted
    Then entry-3 has the version within 10 s
    And a stream is answered by entry-3
    When the table service recovers
    Then orders succeed again
    And the history satisfies the guarantees after an unannounced failure

  @discards_deployment
  Scenario: a change while one node is cut off from the table and another paused
    Guards against a node that serves callers under a configuration that was
    replaced while the node was unreachable.
    Given a load of streams and orders
    When entry-1:table is cut off
    And node entry-3 is paused
    And an operator removes account buyers at entry-2
    Then the change is accepted within 6 s
    And every running node already has the change in force
    And entry-1 admits none of 10 calls of account buyers
    When node entry-3 is resumed
    Then entry-3 admits none of 30 calls of account buyers
    And entry-3 has the version within 6 s
