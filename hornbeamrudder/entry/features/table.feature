@processes
Feature: Orders when the table service fails

  Scenario: one key at two nodes concurrently, and a used key with a different body
    Guards against an order that runs twice because its attempts reach different
    nodes.
    Given a load of streams and orders
    When the same key is sent to two nodes concurrently, 20 times
    Then both callers get the same answer
    And a used key with a different body is refused with status 422
    And the history satisfies the guarantees

  Scenario: responses of the table service are lost after the request is applied
    Guards against a write that is repeated, or reported as not run, because its
    response was lost.
    Given a load of streams and orders
    When the table service drops 60 responses after applying the requests
    And 3 s pass
    And the table service recovers
    Then orders succeed again
    And the history satisfies the guarantees, unknown order outcomes allowed

  Scenario: a used key is retried while the table service is down
    Guards against reporting "not run" for an order that ran in an earlier
    attempt.
    Given a load of streams and orders
    When an order has run
    And the table service is down
    Then its key gets outcome unknown and a new key not run
    When the table service recovers
    Then its key gets the stored answer
    And the history satisfies the guarantees, unknown order outcomes allowed

  @long
  Scenario: the table service fails while orders are in progress
    Guards against orders that run without a confirmed record, and against
    streams that depend on the table service.
    Given a load of streams and orders
    When the table service is down
    And 4 s pass
    And the table service recovers
    Then orders succeed again
    And the history satisfies the guarantees, unknown order outcomes allowed

  @long
  Scenario: the table service is down when orders arrive
    Guards against accepted orders without a record.
    Given a load of streams and orders
    Then orders succeed again
    When the table service is down
    Then orders are refused as not run and streams complete
    When the table service recovers
    Then orders succeed again
    And the history satisfies the guarantees, unknown order outcomes allowed

  @long
  Scenario: the table service is slow while orders are in progress
    Guards against sending an order after its send window, which a slow write
    can exceed.
    Given a load of streams and orders
    When the table service delays each request by 1.5 s
    And 8 s pass
    And the table service delays each request by 3 s
    And 8 s pass
    And the table service recovers
    Then orders succeed again
    And the history satisfies the guarantees, unknown order outcomes allowed
