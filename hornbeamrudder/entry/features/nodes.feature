@processes
Feature: Answers and orders when entry nodes fail or are reclaimed

  @discards_deployment
  Scenario: a node is stopped gracefully with streams and orders in progress
    Guards against requests that are interrupted by a graceful shutdown.
    Given a load of streams and orders
    When node entry-1 is stopped gracefully with requests in progress
    Then node entry-1 ends with status 0
    And the history satisfies the guarantees
    And no call needed a second connection

  @discards_deployment
  Scenario: the host of a node is reclaimed with notice
    Guards against accepted requests that are lost in an announced reclaim.
    Given a load of streams and orders
    When the hosts of entry-1 are reclaimed with 6 s notice
    And the reclaimed hosts are terminated when their notice expires
    And 2 s pass
    Then entry-1 has handed over answers
    And the history satisfies the guarantees

  @long @discards_deployment
  Scenario: a node is killed with streams and orders in progress
    Guards against orders that run twice when the caller retries with the same
    key, and against wrong tokens when streams restart.
    Given a load of streams and orders
    When node entry-1 is killed with requests in progress
    And 3 s pass
    Then the history satisfies the guarantees after an unannounced failure

  @long @discards_deployment
  Scenario: an engine and a node are reclaimed simultaneously
    Guards against streams that are lost when they move to another engine and
    are handed over to a peer at the same time.
    Given a load of streams and orders
    When the hosts of engine-1 and entry-1 are reclaimed with 6 s notice
    And the reclaimed hosts are terminated when their notice expires
    And 2 s pass
    Then entry-1 has handed over answers
    And the history satisfies the guarantees

  @long @discards_deployment
  Scenario: a zone with a node, an engine and a service is reclaimed
    Guards against requests that are lost when several components leave
    together.
    Given a load of streams and orders
    When zone kingston-a is reclaimed with 6 s notice
    And the reclaimed hosts are terminated when their notice expires
    And 2 s pass
    Then the history satisfies the guarantees

  @long @discards_deployment
  Scenario: a second notice shortens the first
    Guards against a handover that is scheduled by the first notice only.
    Given a load of streams and orders
    When the hosts of entry-1 are reclaimed with 60 s notice
    And 1 s pass
    And the hosts of entry-1 are reclaimed with 5 s notice
    And the reclaimed hosts are terminated when their notice expires
    And 2 s pass
    Then entry-1 has handed over answers
    And the history satisfies the guarantees

  @long @discards_deployment
  Scenario: the successor does not respond during the handover
    Guards against a handover that fails because its first successor does not
    respond.
    Given a load of streams and orders
    When the hosts of entry-1 are reclaimed with 6 s notice
    And the first successor of entry-1 is paused during the handover
    And the reclaimed hosts are terminated when their notice expires
    And 2 s pass
    Then entry-1 has handed over answers
    And the history satisfies the guarantees after an unannounced failure

  @long @discards_deployment
  Scenario: the successor is killed during the handover
    Guards against answers that are not handed over because the successor fails
    after accepting some of them.
    Given a load of streams and orders
    When the hosts of entry-1 are reclaimed with 6 s notice
    And the first successor of entry-1 is killed during the handover
    And the reclaimed hosts are terminated when their notice expires
    And 2 s pass
    Then entry-1 has handed over answers
    And the history satisfies the guarantees after an unannounced failure

  @long @discards_deployment
  Scenario: a node is reclaimed during a table outage
    Guards against answers that were handed over but cannot be found, because
    the row that names the successor is missing.
    Given a load of streams and orders
    When the table service is down
    And the hosts of entry-1 are reclaimed with 6 s notice
    And the reclaimed hosts are terminated when their notice expires
    And 6 s pass
    And the table service recovers
    Then entry-1 has handed over answers
    And orders succeed again
    And the history satisfies the guarantees, unknown order outcomes allowed

  @long
  Scenario: a node is paused for longer than all time limits and resumed
    Guards against sends, answers and admissions under leases or permissions
    that expired during the pause.
    Given a load of streams and orders
    When node entry-1 is paused for 16 s
    And 3 s pass
    Then the history satisfies the guarantees after an unannounced failure
    And a stream is answered by entry-1
