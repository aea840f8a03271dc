Feature: Rule quiet_part

  Scenario Outline: A value that cannot be applied is rejected
    # Guards against a rule that closes all workers to large accounts, and
    # against one that is accepted but too small to keep any worker quiet.
    Given a valid document
    When these values are set
      | path             | value  |
      | rules.quiet_part | <part> |
    Then the problems name exactly these fields
      | field            | reason   |
      | rules.quiet_part | <reason> |

    Examples:
      | part | reason                |
      | 0.2  | keeps no worker quiet |
      | 1    | less than 1           |
      | -0.1 | greater than or equal |
      | true | valid number          |
