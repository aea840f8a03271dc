Feature: Measurements of floods with processes

  Scenario: A run and its reference offer the same load
    # Guards against a comparison of two different loads.
    Then the base load of each scenario is the same with and without the flood
    And the floods have the sizes that the targets name

  Scenario: Figures are those of the calls and counters
    # Guards against late answers counted as in time and against counters of
    # other services in the attempts per request.
    Then an answer after its deadline is late and a refusal is not run
    And counters are added up over nodes for one service only

  Scenario: Processes are ended where one of them does not start
    # Guards against processes that outlive a failed run and load the machine.
    When two processes are started whose settings are wrong
    Then none of them is left
