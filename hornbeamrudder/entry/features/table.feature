@processes
Feature: Orders when the table service fails

  Scenario: one key at two nodes at once, and a used key with another body
    Guards against two runs of an order whose attempts reach two nodes.
    Given a load of streams and orders
    When the same key is sent to two nodes at once, 20 times
    Then both callers get the same answer of one run
    And a used key with another body is refused with status 422
    And the history keeps the promises

  Scenario: answers of the table service are lost after the effect
    Guards against a write that is repeated, or told as not run, because
    its answer was lost.
    Given a load of streams and orders
    When the table service drops 60 answers after the effect
    And 3 s pass
    And the table service answers again
    Then orders are answered again
    And the history keeps the promises, orders may be unknown

  Scenario: a used key is tried again while the table service is down
    Guards against "not run" for an order that ran in an earlier attempt.
    Given a load of streams and orders
    When an order has run
    And the table service is down
    Then its key is answered as unknown and a new key as not run
    When the table service answers again
    Then its key gets the stored answer
    And the history keeps the promises, orders may be unknown

  @long
  Scenario: the table service goes down in the middle of orders
    Guards against orders that run without a confirmed record, and against
    streams that stop with the table service.
    Given a load of streams and orders
    When the table service is down
    And 4 s pass
    And the table service answers again
    Then orders are answered again
    And the history keeps the promises, orders may be unknown

  @long
  Scenario: the table service is down before orders
    Guards against accepted orders without a record.
    Given a load of streams and orders
    Then orders are answered again
    When the table service is down
    Then orders are refused as not run and streams go on
    When the table service answers again
    Then orders are answered again
    And the history keeps the promises, orders may be unknown

  @long
  Scenario: the table service is slow in the middle of orders
    Guards against sends after the send window of a slow write.
    Given a load of streams and orders
    When the table service takes 1.5 s for each request
    And 8 s pass
    And the table service takes 3 s for each request
    And 8 s pass
    And the table service answers again
    Then orders are answered again
    And the history keeps the promises, orders may be unknown
