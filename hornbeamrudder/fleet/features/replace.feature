Feature: Replacement of hosts

  Scenario: A refused start is replaced by class, then zone, then on-demand
    # Guards against waiting for one offer while others are there, and
    # against paying for on-demand hosts before it is needed.
    Given a fleet in which 2 hosts of "levis-est g1" are missing
    When each start is refused until only on-demand is left
    Then the starts go to another class, another zone and on-demand in turn

  Scenario: On-demand hosts give way when reclaimable ones are offered again
    # Guards against paying for on-demand hosts after the shortage has ended.
    Given a fleet that runs on demand because reclaimable starts were refused
    When reclaimable starts are accepted again
    Then reclaimable hosts are started, and on-demand hosts drained after that

  Scenario: Start orders stay within the budget
    # Guards against overloading the cloud API when every start is refused.
    Then random refusals and reclaims never exceed the budget in any window
    And without the budget the same run exceeds it

  Scenario: No host is stopped before it is drained and idle
    # Guards against interrupting requests when the fleet shrinks.
    Then random runs stop only hosts that were drained and are idle
    And no drain leaves fewer slots than needed, or fewer after a zone loss

  Scenario: Stopping surplus hosts at once interrupts requests
    # Shows the failure that draining first guards against.
    Then stopping surplus hosts without draining would interrupt requests

  Scenario: Backoff doubles up to its limit
    # Guards against retries that come at the same rate for ever.
    Then the waits after 2000 refusals double, stay within the limit and vary
