Feature: Fits and tables of the capacity measurements

  Scenario: A line is recovered from values with noise
    # Guards against slope and constant that are exchanged on the page.
    Given values of 3 + 0.25 x size at sizes 3,7,16,32,64 with noise of 0.01
    Then the fitted slope is near 0.25 and the constant near 3
    And the value at 2000 is near 503

  Scenario: A line through values that are not on a line is marked
    # Guards against an extrapolation of growth that is not linear.
    Given values of the square of sizes 1,2,4,8,16,32
    Then the residual of the line is above 0.05
    And the growth exponent is near 2

  Scenario Outline: Values that cannot be fitted are refused
    # Guards against a slope worked out from one size or a failed run.
    Then a fit of sizes <sizes> and values <values> is refused

    Examples:
      | sizes | values  |
      | 7     | 1       |
      | 7,7   | 1,2     |
      | 3,7   | 1       |
      | 3,7   | 1,nan   |

  Scenario: Costs of requests and of tokens are told apart
    # Guards against tokens that are charged to requests.
    Given runs of 100,1 and 100,100 and 300,60 requests and tokens each
    Then costs of 0.002 a request and 0.0001 a token are recovered
    And runs with the same tokens for each request are refused

  Scenario: Repeated runs are summarized by median and extremes
    # Guards against one disturbed run that moves the figure.
    Then the runs 4,1,100,2,3 have median 3, low 1 and high 100

  Scenario: Table cells stay in their columns
    # Guards against a text with a bar, or a missing cell, that moves a row.
    Then a table of "a|b" and 12345.6 has two columns and shows "12,346"
    And a row with a missing cell is refused

  Scenario: A process name with spaces and brackets does not move fields
    # Guards against processor time that is read from another field.
    Given the status of a process named "node) 1 (x" with 150 user and 50 system ticks
    Then its processor time is 2 s, its memory 4096 kB and its threads 9

  Scenario: A heartbeat does not grow with the number of nodes
    # Guards against traffic that grows with the square of the nodes because
    # each heartbeat names all of them.
    Then a heartbeat among 300 nodes is as long as one among 3

  Scenario: A process that does not start leaves no other running
    # Guards against 47 nodes that ran on after one of 64 did not start, and
    # spoiled the measurements after it.
    When a stand-in with wrong settings is started beside a right one
    Then the start fails and the right one is ended
