Feature: Checker of histories
  Guards against failure tests that pass because they cannot see a failure.

  Scenario Outline: the checker of histories sees <change>
    Given a good history
    When <change> is put into it
    Then the checker reports it

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
      | an answer that no node had             |
      | a lower version                        |
