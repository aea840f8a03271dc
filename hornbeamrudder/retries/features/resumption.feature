Feature: Resumptions and the retry budget

  Scenario Outline: Only an attempt without a token needs the budget
    # Guards against begun answers cut off by an empty budget after a wave,
    # and against first attempts that are repeated without limit.
    When an attempt fails after <tokens> tokens
    Then another attempt <needs> the budget

    Examples:
      | tokens | needs      |
      | 0      | needs      |
      | 1      | is outside |
      | 500    | is outside |
