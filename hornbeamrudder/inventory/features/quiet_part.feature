Feature: Part of quiet workers in the rules

  Scenario Outline: A part that cannot be applied is refused
    # Guards against a rule that closes all workers to large accounts, or
    # that is accepted though it can never keep a worker quiet.
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
