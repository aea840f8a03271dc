Feature: Policy simulation in virtual time

  Scenario: The result of a run is determined by its seed
    # Guards against figures that cannot be reproduced.
    Given a small scenario of 20 seconds
    Then two runs with seed 1 give equal figures and seed 2 gives different ones

  Scenario: Every request ends exactly once
    # Guards against figures from a run that lost or duplicated requests.
    Given a small scenario of 20 seconds
    When 2 of 4 workers are lost at 8 seconds and node 0 fails at 12 seconds
    Then every request is answered or refused and no slot remains in use

  Scenario: Retries after a loss of workers stay within the retry budget
    # Guards against retries that are not counted or not limited.
    Given a small scenario of 20 seconds
    When 2 of 4 workers are lost at 8 seconds and node 0 fails at 12 seconds
    Then retries are counted and are at most 10% of the requests

  Scenario: The latency of a simulated worker depends on its batch and cache
    # Guards against a simulated worker that ignores its batch size or its cache.
    Then 2 requests of 100 tokens take as long as token rate and cache imply

  Scenario: A target is met only by a median within its bounds
    # Guards against reporting a target as met without a figure.
    Then medians, missing figures and ratios are compared with the bounds

  Scenario Outline: An invalid scenario is rejected
    # Guards against a misspelt setting that silently changes an experiment.
    Given a scenario file with <change>
    Then the bench command exits with status 2 and names the file

    Examples:
      | change            |
      | an unknown key    |
      | an unknown policy |
      | a missing service |
      | broken YAML       |

  Scenario: The example scenarios are valid
    # Guards against examples that no longer match the schema.
    Then all files in examples/scenarios are valid and name known baselines

  Scenario: The bench command writes its reports
    # Guards against a run whose figures are not saved.
    Given a scenario file with one baseline
    When the bench command runs it with 2 seeds
    Then the folder has a JSON file with 2 values for each figure and a plot
