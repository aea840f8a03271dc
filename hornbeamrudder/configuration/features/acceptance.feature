Feature: Acceptance of a configuration and the right to admit

  Scenario Outline: <run>: promises hold, and the check finds the fault
    # Guards against a node that serves under a version after the operator
    # was told that a later one is in force, and against a change that is
    # reported as refused and takes effect.
    When the interleaving "<run>" is run
    Then every promise holds
    And with "<fault>" the check finds "<violation>"

    Examples:
      | run                              | fault                                    | violation           |
      | a silent node                    | no wait for rights to expire             | admits at version   |
      | a minority partition             | majorities that do not intersect         | admits at version   |
      | a restart after acknowledging    | a restarted process counted as voter     | admits at version   |
      | all acknowledged, one restarted  | acceptance on old acknowledgements       | admits at version   |
      | joins missed by two members      | only the latest member set counted       | admits at version   |
      | a restart next to a lagging node | any peer's version taken after a restart | admits at version   |
      | a restart after a release        | a release taken as an answer             | admits at version   |
      | a lost response                  | a timeout taken as a refusal             | refused but written |
      | a node paused past its right     | the right checked before the pause       | admits at version   |

  Scenario: Random faults break no promise and leave no lasting damage
    # Guards against interleavings that nobody thought of: cuts, pauses,
    # kills, restarts, outages, lost responses, races, drift, joins, leaves.
    When random schedules of faults are run on 3 to 7 nodes
    Then every promise holds
    And afterwards each run admits everywhere and accepts a change in 6 s

  Scenario: Restarts while a change spreads break no promise
    # Guards against acknowledgements, restarts and confirmations that cross.
    When nodes restart and links fail while a change spreads
    Then every promise holds

  Scenario: Random schedules find faults in the rules
    # Guards against schedules too tame to reach the rules.
    When random schedules are run with "no wait for rights to expire"
    Then at least one run reports a violation

  Scenario: Serving continues in a long outage of the table service
    # Guards against a stop of serving while a majority hears each other.
    Given 5 nodes in force at one version
    When the table service is down for 300 s and one node restarts
    Then every node admitted during the whole outage but for 5 s
    And a change during the outage is refused and nothing is written

  Scenario: Losing a majority in an outage stops admission until it ends
    # Guards against a minority that admits under a version of its own.
    Given 5 nodes in force at one version
    When the table service is down and 3 nodes are killed
    Then no node admits after 4 s
    And the nodes admit again when the table service is back

  Scenario: Racing operators
    # Guards against two winners and against a conflict without a reason.
    Given 5 nodes in force at one version
    When three operators change key "rules" at the same base version
    Then one is accepted and the others get a conflict that names the winner

  Scenario: A change of members is no conflict for an operator
    # Guards against edits that fail whenever a node joins.
    Given 5 nodes in force at one version
    When a node joins and an operator edits the version before
    Then the edit is accepted

  Scenario: A committed version whose writer dies is rolled forward
    # Guards against a version that stays on some nodes only.
    Given 5 nodes in force at one version
    When a writer is killed right after its write took effect
    Then all other nodes have that version in force within 6 s

  Scenario: Replacement of all hosts
    # Guards against a member set that no living node can change.
    Given 5 nodes in force at one version
    When all hosts are replaced and the platform reports their end
    Then a change is accepted within 30 s
