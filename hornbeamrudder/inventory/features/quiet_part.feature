Feature: Part of quiet workers in the rules

  Scenario Outline: The part is checked
    # Guards against a rule that closes all workers to large accounts, or
    # that is accepted though it can never keep a worker quiet.
    When the rules have a quiet part of <part> for <workers> workers
    Then the document is <result>

    Examples:
      | part  | workers | result                          |
      | 0     | 4       | valid                           |
      | 0.25  | 4       | valid                           |
      | 0.25  | 0       | valid                           |
      | 0.2   | 4       | refused: keeps no worker quiet  |
      | 1     | 4       | refused: less than 1            |
      | -0.1  | 4       | refused: greater than or equal  |
      | "a"   | 4       | refused: valid number           |
      | true  | 4       | refused: valid number           |

  Scenario: A change of the part is a difference
    # Guards against a change that the history and conflicts do not show.
    Then a quiet part of 0.25 instead of 0 is the difference "rules/quiet_part"
