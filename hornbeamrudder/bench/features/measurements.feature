Feature: Virtual-time measurements

  Scenario: A run depends only on its seed
    # Guards against figures that cannot be repeated.
    Given a small scenario of 20 seconds
    Then two runs with seed 1 give equal figures and seed 2 gives others

  Scenario: Every request ends at most once and none vanishes
    # Guards against figures from a run that lost or doubled requests.
    Given a small scenario of 20 seconds
    When 2 of 4 workers are lost at 8 seconds and node 0 dies at 12 seconds
    Then every request is answered or refused and no slot stays in use

  Scenario: Attempts stay within the retry budget after a wave
    # Guards against a run in which retries are not counted or not limited.
    Given a small scenario of 20 seconds
    When 2 of 4 workers are lost at 8 seconds and node 0 dies at 12 seconds
    Then retries after the wave are counted and at most 10% of the requests

  Scenario: A fake worker follows its rate and its cache
    # Guards against a fake whose batch or cache does not change the latency.
    Then 2 requests of 100 tokens take as long as the shared rate and the cache say

  Scenario: A median outside the bound misses the target
    # Guards against a target that is reported as met without a figure.
    Then medians, missing figures and ratios are compared with the bounds

  Scenario Outline: An invalid scenario is refused
    # Guards against a misspelt setting that silently changes an experiment.
    Given a scenario file with <change>
    Then the bench command ends with status 2 and names the file

    Examples:
      | change            |
      | an unknown key    |
      | an unknown policy |
      | a missing service |
      | broken YAML       |

  Scenario: The example scenarios are valid
    # Guards against examples that no longer match the schema.
    Then all files in examples/scenarios are read and name known baselines

  Scenario: The command writes its reports
    # Guards against a run whose figures are lost.
    Given a scenario file with one baseline
    When the bench command runs it with 2 seeds
    Then the folder has a JSON file with 2 values for each figure and a plot
