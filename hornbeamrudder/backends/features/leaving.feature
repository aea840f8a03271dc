Feature: State of a host from five sources

  Scenario: A leaving report takes precedence in every order of reports
    # Guards against new work on a leaving host when a report that it is live
    # arrives late.
    Given one report of every source and a notice that the host is leaving
    When the reports are applied in every order
    Then every order gives the state "leaving" with the same deadline

  Scenario: Without precedence some orders of reports leave the host live
    # Reproduces the failure that the scenario above guards against.
    Given one report of every source and a notice that the host is leaving
    When only the latest report is used, in every order
    Then some orders give the state "live"

  Scenario: A stale host list does not make a leaving host live
    # Guards against treating a lagging list as the current state.
    Given a host that responds and is reported as leaving
    When the host list shows it as live 30 times
    Then the host may not receive new work

  Scenario: A leaving report from one source is sufficient
    # Guards against relying on one source whose message may be lost.
    Then a leaving report from any single source stops new work
    And without a leaving report the host receives new work

  Scenario: Reports on a higher incarnation replace those on a lower one
    # Guards against a host id that can never be used again, and against old
    # reports that take a restarted host out of service.
    Given a host that responds and is reported as leaving
    When it responds with a higher incarnation
    Then the host may receive new work
    When the leaving report on the lower incarnation is repeated
    Then the host may receive new work

  Scenario: A leaving host is gone at its deadline
    # Guards against moving streams of a host that has already terminated.
    Given a host that responds and is reported as leaving
    Then it is "leaving" before its deadline and "gone" at its deadline

  Scenario: The record does not depend on order or repetition of reports
    # Guards against states that differ between nodes because reports reach
    # them in a different order.
    Then random reports give the same record in any order, repeated or not
    And no response makes a host live in an incarnation reported as leaving

  Scenario: Requests sent since the last report are added to the load
    # Guards against sending a whole burst to the worker that was idle when it
    # last reported.
    Given three workers with reports that are 1 second old
    When 30 requests go each to the worker with the least load
    Then no worker receives more than 11 of them
    When 30 requests go each to the worker with the least reported load
    Then one worker receives all of them

  Scenario: Ended requests are subtracted once
    # Guards against estimates that grow without bound or fall below zero.
    Then random starts, ends and reports give the exact number of tokens
