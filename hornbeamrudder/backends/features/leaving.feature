Feature: State of a host from five sources

  Scenario: Leaving takes precedence in every order of reports
    # Guards against new work on a leaving host after a late live report.
    Given one report of every source, of which the notice announces leaving
    When the reports are applied in every order
    Then every order gives the state "leaving" with the same deadline

  Scenario: Without precedence some orders leave the host live
    # Shows the failure that the scenario above guards against.
    Given one report of every source, of which the notice announces leaving
    When the latest report alone decides, in every order
    Then some orders give the state "live"

  Scenario: A stale host list does not revive a leaving host
    # Guards against taking a lagging list for the present state.
    Given a host that answers and whose leaving was announced
    When the host list shows it as live 30 times
    Then the host may not receive new work

  Scenario: One announcement is enough when all other paths lose theirs
    # Guards against relying on one source whose message may be lost.
    Then an announcement from any single source stops new work
    And without any announcement the host receives new work

  Scenario: A higher incarnation revives a host and a lower one does not
    # Guards against a host id that can never be used again, and against old
    # reports that take a restarted host out of service.
    Given a host that answers and whose leaving was announced
    When it answers with a higher incarnation
    Then the host may receive new work
    When the announcement for the lower incarnation is repeated
    Then the host may receive new work

  Scenario: A leaving host is gone at its deadline
    # Guards against moving streams of a host that has already ended.
    Given a host that answers and whose leaving was announced
    Then it is "leaving" before its deadline and "gone" at its deadline

  Scenario: Reports in any order and number give one result
    # Guards against states that depend on the path of a message.
    Then random reports give the same record in any order, repeated or not
    And no answer makes a host live in an incarnation that was announced leaving

  Scenario: Own work since the report counts
    # Guards against sending a burst to the worker that was idle at its report.
    Given three workers with reports that are 1 second old
    When 30 requests go each to the worker with the least load
    Then no worker receives more than 11 of them
    When 30 requests go each to the worker with the least reported load
    Then one worker receives all of them

  Scenario: Own work that ended is not counted twice
    # Guards against loads that grow without bound or fall below zero.
    Then random starts, ends and reports give the load of a complete account
