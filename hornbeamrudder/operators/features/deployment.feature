Feature: Operator commands on a running deployment

  Scenario: An import is in force on all nodes
    # Guards against an import that is accepted but not applied by every node.
    When demo runs "inventory import mapping.yaml" on the deployment
    Then the command ends with 0 and prints "is in force on 3 nodes"
    And every node reports the version in force and that all nodes are ready
    When r-campbell runs "rules apply rules.yaml" on the deployment
    Then the command ends with 0 and prints "+ rules/ranks/quill-llm buyers-counter"
    When r-campbell runs "rules history" on the deployment
    Then the command ends with 0 and prints "r-campbell: rules/"
    And every version in the history has a time

  Scenario: Of two concurrent changes one is rejected as a conflict
    # Guards against a change that silently reverts that of another operator,
    # and against a conflict that names only a whole section.
    When r-campbell and d-grant concurrently apply rules with different deadlines
    Then one change is in force and the other command ends with 3
    And the conflict names "rules/ranks/ledger-app * * *" and the author of the applied change

  Scenario: A drained host is leaving on all nodes within 3 s
    # Guards against a node that continues to send work to a drained host.
    When d-grant runs "drain bm-gpu-02" on the deployment
    Then the command ends with 0 and prints "is leaving"
    And within 3 s every node reports that "quill-02" is leaving
    And the log of one node names d-grant for "bm-gpu-02"

  Scenario Outline: JSON output has one object per line
    # Guards against output that a program cannot parse.
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

  Scenario: An unknown token and an unreachable node have their exit codes
    # Guards against scripts that mistake an error for success.
    When an unknown operator runs "status" on the deployment
    Then the command ends with 6 and prints "token is absent or unknown"
    When d-grant runs "status" on a closed address
    Then the command ends with 5 and prints "not connected"
    When d-grant runs "status" on a closed address and then the deployment
    Then the command ends with 0 and prints "answered_by: entry-1"

  Scenario: Logs contain no tokens and no keys
    # Guards against secrets that leak through the logs.
    Given valid and malformed requests with each token
    Then no log of the deployment contains a token or the peer key

  Scenario: A change during an outage of the table service is refused
    # Guards against a change that is reported as written, or that comes into
    # force later.
    Given the table service of the deployment is stopped
    When r-campbell runs "rules apply changed.yaml" on the deployment
    Then the command ends with 4 and prints "version row not read"
    When r-campbell runs "rules apply changed.yaml --output json" on the deployment
    Then the command ends with 4 and prints JSON
    And its outcome is not_run and the version is unchanged
