Feature: Fits and processes of the capacity measurements

  Scenario: A line fit recovers slope and constant from noisy values
    # Guards against exchanging slope and constant in the report.
    Given values of 3 + 0.25 x size at sizes 3,7,16,32,64 with noise of 0.01
    Then the fitted slope is near 0.25 and the constant near 3
    And the value at 2000 is near 503

  Scenario: A line fit of non-linear values has a high residual
    # Guards against linear extrapolation of non-linear growth.
    Given values of the square of sizes 1,2,4,8,16,32
    Then the residual of the line is above 0.05
    And the growth exponent is near 2

  Scenario Outline: A line fit rejects unsuitable values
    # Guards against a slope that is calculated from a single size or from a
    # failed run.
    Then a fit of sizes <sizes> and values <values> is rejected

    Examples:
      | sizes | values  |
      | 7     | 1       |
      | 7,7   | 1,2     |
      | 3,7   | 1       |
      | 3,7   | 1,nan   |

  Scenario: The cost per request is separated from the cost per token
    # Guards against attributing the cost of tokens to requests.
    Given runs of 100,1 and 100,100 and 300,60 requests and tokens each
    Then costs of 0.002 a request and 0.0001 a token are recovered
    And runs with equal tokens per request are rejected

  Scenario: Repeated runs are summarized by median, minimum and maximum
    # Guards against a single disturbed run that distorts the figure.
    Then the runs 4,1,100,2,3 have median 3, low 1 and high 100

  Scenario: Table cells stay in their columns
    # Guards against cells shifted by a "|" in a text or by a missing cell.
    Then a table of "a|b" and 12345.6 has two columns and shows "12,346"
    And a row with a missing cell is rejected

  Scenario: A process name with spaces and parentheses is parsed
    # Guards against reading the CPU time from a wrong field of /proc/<pid>/stat.
    Given the status of a process named "node) 1 (x" with 150 user and 50 system ticks
    Then its CPU time is 2 s, its memory 4096 kB and its threads 9

  Scenario: The size of a heartbeat does not depend on the number of nodes
    # Guards against traffic that grows with the square of the number of nodes
    # because each heartbeat lists all of them.
    Then a heartbeat among 300 nodes is as long as one among 3

  Scenario: All processes are stopped if one of them fails to start
    # Guards against processes that keep running after a failed start: when 1 of
    # 64 nodes did not start, 47 others disturbed the following measurements.
    When a stand-in with invalid settings is started together with a valid one
    Then the start fails and both processes have ended
