Feature: History checker
  Guards against failure tests that pass because the checker misses a violation.

  Scenario Outline: the history checker detects <change>
    Given a valid history
    When <change> is introduced
    Then the checker reports a violation

    Examples:
      | change                                 |
      | a foreign token                        |
      | a missing token                        |
      | a lost stream                          |
      | a stream refused after its first token |
      | a second run                           |
      | an answer without a run                |
      | a run after "not run"                  |
      | a run after a record "not run"         |
      | a record that is not final             |
      | an unknown outcome                     |
      | a restarted stream                     |
      | a lower version                        |
