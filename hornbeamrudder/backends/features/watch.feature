Feature: Polling of backend servers, tested against the stand-ins

  Scenario: A reclaimed zone receives no new work within 3 seconds
    # Guards against new work on hosts whose reclaim was announced.
    Given a watcher with cloud stand-in and workers in two zones
    When all workers are candidates and one zone is reclaimed
    Then only workers of the other zone are candidates within 3 seconds
    And each change of state was reported once, in order

  Scenario: A report from a peer is sufficient while the cloud API is down
    # Guards against relying on the cloud API during its outage.
    Given a watcher with cloud stand-in and workers in two zones
    When the cloud API is down, one zone is reclaimed and a peer reports it
    Then only workers of the other zone are candidates within 3 seconds

  Scenario: Without a report a reclaimed host still receives new work
    # Shows that the reports cause the result of the two scenarios above.
    Given a watcher with cloud stand-in and workers in two zones
    When the cloud API is down and one zone is reclaimed
    Then all workers are still candidates after 1 second

  Scenario: A worker that stops responding is suspect until it responds
    # Guards against new work on a host that failed without a notice.
    Given a watcher with cloud stand-in and workers in two zones
    When a worker fails its load reports
    Then it is no candidate within 3 seconds
    When the worker responds again
    Then it is a candidate within 3 seconds

  Scenario: A failed connection stops new work immediately
    # Guards against sending more work until the next load report.
    Given a watcher with cloud stand-in and workers in two zones
    When a failed connection to a worker is reported
    Then the worker is no candidate in the next snapshot

  Scenario: No load report raises an exception
    # Guards against a malformed response that terminates the polling thread.
    Then any JSON value is parsed to a load report or a failure
