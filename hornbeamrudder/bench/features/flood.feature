Feature: Flood measurements with processes

  Scenario: A run and its reference have the same base load
    # Guards against comparing runs with different loads.
    Then the base load of each scenario is the same with and without the flood
    And the floods have the sizes stated in the targets

  Scenario: Figures are calculated from call records and counters
    # Guards against counting late answers as in time, and against including the
    # counters of other services in the attempts per request.
    Then an answer after its deadline is late and a refusal is not run
    And counters of one service are summed over all nodes

  Scenario: No process remains after a failed start
    # Guards against processes that outlive a failed run and load the host.
    When two processes are started with invalid settings
    Then neither of them is running
