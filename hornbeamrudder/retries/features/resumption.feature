Feature: Resumptions and the retry budget

  Scenario Outline: Only an attempt without tokens needs the budget
    # Guards against answers cut off by an empty budget after many hosts are
    # lost at once, and against first attempts repeated without limit.
    When an attempt fails after <tokens> tokens
    Then another attempt <needs> the budget

    Examples:
      | tokens | needs      |
      | 0      | needs      |
      | 1      | is outside |
      | 500    | is outside |
