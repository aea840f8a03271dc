@processes
Feature: Answers and orders when entry nodes are lost

  @spoils
  Scenario: a node is stopped gracefully with streams and orders in progress
    Guards against requests that a graceful shutdown cuts off.
    Given a load of streams and orders
    When node entry-1 is stopped gracefully in the middle of requests
    Then node entry-1 ends with status 0
    And the history keeps the promises
    And no call needed a second connection

  @spoils
  Scenario: a node's own host is reclaimed with notice
    Guards against accepted requests lost with an announced reclaim.
    Given a load of streams and orders
    When the hosts of entry-1 are reclaimed with 6 s notice
    And the platform ends the reclaimed hosts at that time
    And 2 s pass
    Then entry-1 has handed over answers
    And the history keeps the promises

  @long @spoils
  Scenario: a node is killed with streams and orders in progress
    Guards against orders that run again when their caller tries again with
    its key, and against answers mixed up when streams start anew.
    Given a load of streams and orders
    When node entry-1 is killed in the middle of requests
    And 3 s pass
    Then the history keeps the promises after a loss without notice

  @long @spoils
  Scenario: an engine and a node are reclaimed at once
    Guards against streams lost between the move from their engine and the
    handover to a peer.
    Given a load of streams and orders
    When the hosts of engine-1 and entry-1 are reclaimed with 6 s notice
    And the platform ends the reclaimed hosts at that time
    And 2 s pass
    Then entry-1 has handed over answers
    And the history keeps the promises

  @long @spoils
  Scenario: a zone with a node, an engine and a service is reclaimed at once
    Guards against requests lost where several parts leave together.
    Given a load of streams and orders
    When zone kingston-a is reclaimed with 6 s notice
    And the platform ends the reclaimed hosts at that time
    And 2 s pass
    Then the history keeps the promises

  @long @spoils
  Scenario: a second notice shortens the first
    Guards against a handover planned for the time of the first notice.
    Given a load of streams and orders
    When the hosts of entry-1 are reclaimed with 60 s notice
    And 1 s pass
    And the hosts of entry-1 are reclaimed with 5 s notice
    And the platform ends the reclaimed hosts at that time
    And 2 s pass
    Then entry-1 has handed over answers
    And the history keeps the promises

  @long @spoils
  Scenario: the successor is silent at the handover
    Guards against a handover that ends with its first, silent successor.
    Given a load of streams and orders
    When the hosts of entry-1 are reclaimed with 6 s notice
    And the first successor of entry-1 is paused at the handover
    And the platform ends the reclaimed hosts at that time
    And 2 s pass
    Then entry-1 has handed over answers
    And the history keeps the promises after a loss without notice

  @long @spoils
  Scenario: the successor is killed in the middle of the handover
    Guards against answers that stay behind when the successor dies after
    it took a part of them.
    Given a load of streams and orders
    When the hosts of entry-1 are reclaimed with 6 s notice
    And the first successor of entry-1 is killed at the handover
    And the platform ends the reclaimed hosts at that time
    And 2 s pass
    Then entry-1 has handed over answers
    And the history keeps the promises after a loss without notice

  @long @spoils
  Scenario: a node is reclaimed during a table outage
    Guards against handed over answers that no node finds without the
    successor's row.
    Given a load of streams and orders
    When the table service is down
    And the hosts of entry-1 are reclaimed with 6 s notice
    And the platform ends the reclaimed hosts at that time
    And 6 s pass
    And the table service answers again
    Then entry-1 has handed over answers
    And orders are answered again
    And the history keeps the promises, orders may be unknown

  @long
  Scenario: a node is paused for longer than every limit and continues
    Guards against sends, answers and admissions under rights that ended
    during the pause.
    Given a load of streams and orders
    When node entry-1 is paused for 16 s
    And 3 s pass
    Then the history keeps the promises after a loss without notice
    And a stream is answered by entry-1
