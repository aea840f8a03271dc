Feature: Operations manual

  Scenario: Every log event and metric is documented
    # Guards against a log event or metric without documentation.
    Then docs/OPERATIONS.md documents every event that the code logs
    And docs/OPERATIONS.md documents every metric and gauge
