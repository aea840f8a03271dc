Feature: Operator commands against running nodes

  Scenario: An import is in force on all nodes
    # Guards against a register that is accepted and not used everywhere.
    When demo runs "inventory import mapping.yaml" on the deployment
    Then the command ends with 0 and prints "is in force on 3 nodes"
    And every node tells the version in force and that all nodes are ready
    When r-campbell runs "rules apply rules.yaml" on the deployment
    Then the command ends with 0 and prints "+ rules/ranks/quill-llm buyers-counter"
    When r-campbell runs "rules history" on the deployment
    Then the command ends with 0 and prints "r-campbell: rules/"
    And no version in the history is without a time

  Scenario: Of two racing operators one gets a conflict that names the other
    # Guards against an edit that silently reverts another operator's edit,
    # and against a conflict that names a whole section only.
    When r-campbell and d-grant apply rules with another deadline at once
    Then one change is in force and the other ends with 3
    And the conflict names "rules/ranks/ledger-app * * *" and the winner

  Scenario: A drained host is leaving on all nodes within 3 s
    # Guards against a node that keeps sending work to a drained host.
    When d-grant runs "drain bm-gpu-02" on the deployment
    Then the command ends with 0 and prints "is leaving"
    And within 3 s every node tells that "quill-02" is leaving
    And the log of one node names d-grant for "bm-gpu-02"

  Scenario Outline: JSON output is one object on each line
    # Guards against output that a program cannot read.
    When r-campbell runs "<line> --output json" on the deployment
    Then the command ends with <code> and prints JSON

    Examples:
      | line                        | code |
      | inventory diff mapping.yaml | 0    |
      | inventory show              | 0    |
      | rules check rules.yaml      | 0    |
      | rules history               | 0    |
      | status                      | 0    |
      | watch --count 1             | 0    |
      | drain no-such-host          | 1    |

  Scenario: A wrong token and an unreachable node have their exit codes
    # Guards against scripts that take an error for success.
    When a stranger runs "status" on the deployment
    Then the command ends with 6 and prints "token is absent or unknown"
    When d-grant runs "status" on a closed address
    Then the command ends with 5 and prints "not connected"
    When d-grant runs "status" on a closed address and then the deployment
    Then the command ends with 0 and prints "answered_by: entry-1"

  Scenario: No token and no key is in a log
    # Guards against secrets that leave a node in its logs.
    Given requests with each token, well formed and malformed
    Then no log of the deployment has a token or the peer key

  Scenario: A change during an outage of the table service is refused
    # Guards against a change that is told as written, or is in force later.
    Given the table service of the deployment has ended
    When r-campbell runs "rules apply changed.yaml" on the deployment
    Then the command ends with 4 and prints "version row not read"
    When r-campbell runs "rules apply changed.yaml --output json" on the deployment
    Then the command ends with 4 and prints JSON
    And its outcome is not_run and the version is as before
