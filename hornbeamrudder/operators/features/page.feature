Feature: The operators' page

  Scenario: Every log line and metric of the code is explained
    # Guards against a line or metric that an operator meets without a word.
    Then docs/OPERATIONS.md has every event that the code logs
    And docs/OPERATIONS.md has every metric and gauge
