Feature: Acceptance of a configuration and the admission lease

  Scenario Outline: <run>: invariants hold, and an injected fault is detected
    # Guards against a node that admits under a version after a later one was
    # reported as in force, and against a change that is reported as refused
    # but takes effect.
    When the interleaving "<run>" is run
    Then no invariant is violated
    And with "<fault>" the violation "<violation>" is reported

    Examples:
      | run                              | fault                                    | violation           |
      | a silent node                    | no wait for leases to expire             | admits at version   |
      | a minority partition             | majorities that do not intersect         | admits at version   |
      | a restart after acknowledging    | a restarted process counted as voter     | admits at version   |
      | all acknowledged, one restarted  | acceptance on old acknowledgements       | admits at version   |
      | joins missed by two members      | only the latest member set counted       | admits at version   |
      | a restart next to a lagging node | any peer's version taken after a restart | admits at version   |
      | a restart after a release        | a release taken as an answer             | admits at version   |
      | a lost response                  | a timeout taken as a refusal             | refused but written |
      | a node paused past its lease     | the lease checked before the pause       | admits at version   |

  Scenario: Random faults violate no invariant and the nodes recover
    # Guards against failures in interleavings that no script covers: cut
    # links, pauses, kills, restarts, outages, lost responses, concurrent
    # changes, clock drift, joins, leaves.
    When random schedules of faults are run on 3 to 7 nodes
    Then no invariant is violated
    And after recovery every node admits and a change is accepted within 6 s

  Scenario: Restarts during a rollout violate no invariant
    # Guards against faults in interleavings of acknowledgements, restarts
    # and confirmations.
    When nodes restart and links fail during a rollout
    Then no invariant is violated

  Scenario: Random schedules detect an injected fault
    # Guards against schedules that never exercise the rule under test.
    When random schedules are run with "no wait for leases to expire"
    Then at least one run reports a violation

  Scenario: Nodes keep admitting in a long outage of the table service
    # Guards against a loss of service while a majority is connected.
    Given 5 nodes with one version in force
    When the table service is down for 300 s and one node restarts
    Then only the restarted node stopped admitting, for at most 5 s
    And a change during the outage is refused and nothing is written

  Scenario: Losing a majority in an outage stops admission until it ends
    # Guards against a minority that admits under an outdated version.
    Given 5 nodes with one version in force
    When the table service is down and 3 nodes are killed
    Then no node admits after 4 s
    And the nodes admit again within 4 s of the recovery of the table service

  Scenario: Concurrent changes by several operators
    # Guards against two accepted changes to one base version, and against a
    # conflict that does not name its author.
    Given 5 nodes with one version in force
    When three operators change key "rules" of the same base version
    Then one change is accepted and the others conflict with its author

  Scenario: A member change does not conflict with an edit
    # Guards against edits that fail whenever a node joins.
    Given 5 nodes with one version in force
    When a node joins and an operator edits the previous version
    Then the edit is accepted

  Scenario: A committed version is rolled forward after its writer fails
    # Guards against a version that is installed on some nodes only.
    Given 5 nodes with one version in force
    When a writer is killed right after its write is applied
    Then the version is in force on all other nodes within 6 s

  Scenario: Replacement of all hosts
    # Guards against a member set that no live node can change.
    Given 5 nodes with one version in force
    When all hosts are replaced and the platform reports the old ones as gone
    Then a change is accepted within 30 s
