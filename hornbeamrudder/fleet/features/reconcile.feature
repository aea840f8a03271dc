Feature: Reconciliation of hosts

  Scenario: A refused start falls back to class, then zone, then on-demand
    # Guards against waiting for one offer while others are available, and
    # against paying for on-demand hosts before they are necessary.
    Given a fleet in which 2 hosts of "levis-est g1" are missing
    When each start is refused until only on-demand is left
    Then the starts use another class, another zone and on-demand in this order

  Scenario: Reclaimable hosts replace on-demand hosts after a shortage
    # Guards against paying for on-demand hosts after a shortage has ended.
    Given a fleet of on-demand hosts, because reclaimable starts were refused
    When reclaimable starts are accepted again
    Then reclaimable hosts are started, and on-demand hosts are then drained

  Scenario: Start orders stay within the budget
    # Guards against overloading the cloud API when every start is refused.
    Then random refusals and reclaims never exceed the budget in any window
    And without the budget the same run exceeds it

  Scenario: No host is stopped before it is drained and idle
    # Guards against interrupted requests when the fleet shrinks.
    Then random runs stop only hosts that were drained and are idle
    And no drain leaves too few slots in total or after a zone loss

  Scenario: Stopping surplus hosts at once interrupts requests
    # Shows the failure that draining prevents.
    Then stopping surplus hosts without draining would interrupt requests

  Scenario: Backoff doubles up to its limit
    # Guards against retries at an unchanged rate during a long shortage.
    Then the waits after 2000 refusals double, stay within the limit and vary
