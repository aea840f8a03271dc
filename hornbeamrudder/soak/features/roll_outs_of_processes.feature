Feature: Roll-outs by node processes

  Scenario Outline: The holder fails in the middle of a roll-out
    # Guards against a roll-out that stays where its holder left it, a step that
    # is skipped or made twice, a former holder that acts when it is back, and
    # runs that end with their old servers.
    Given 3 node processes, and streams that last for several seconds
    When engines are rolled out within 11 s, and the holder is <fault> in step <step>
    Then the roll-out is completed by another holder
    And no step was skipped or made twice, and the numbers never fell
    And all streams at the other nodes arrived whole
    And streams went on from old servers at new ones
    And the former holder makes no step when it is back

    Examples:
      | fault                  | step     |
      | killed                 | trial    |
      | frozen                 | load     |
      | frozen                 | transfer |
      | cut off from the store | transfer |
