Feature: Operator commands and API

  Background:
    Given a node with the example configuration

  Scenario: An applied change is printed with the difference and the delay
    # Guards against a command that does not show what changed or whether the
    # change is in force.
    Given "rank: urgent, deadline_s: 5" is replaced by "rank: urgent, deadline_s: 6" in the operator's rules.yaml
    When r-campbell runs "rules apply rules.yaml"
    Then the exit code is 0
    And it prints "~ rules/ranks/quill-llm buyers-counter * * deadline_s: 5.0 -> 6.0"
    And it prints "version 2 is in force on 2 nodes after 0.75 s"
    When r-campbell runs "rules apply rules.yaml --output json"
    Then its JSON has difference = []
    And version 2 is current

  Scenario: An import keeps the rules in force
    # Guards against an import that reverts rules or that is recorded without
    # its author.
    Given "bm-gpu-09,kingston-a" is replaced by "bm-gpu-09,kingston-b" in the operator's hosts.csv
    And "deadline_s: 25" is replaced by "deadline_s: 1" in the operator's rules.yaml
    When d-grant runs "inventory import mapping.yaml --output json"
    Then the exit code is 0
    And its JSON has difference.0.key = "hosts/bm-gpu-09"
    And its JSON has nodes.1.seconds = 0.75
    When d-grant runs "inventory diff mapping.yaml"
    Then it prints "no difference"
    When d-grant runs "rules history"
    Then it prints "no change of rules"

  Scenario: A concurrent change is reported as a conflict with key and author
    # Guards against a change that silently reverts that of another operator.
    Given "deadline_s: 10" is replaced by "deadline_s: 11" in the operator's rules.yaml
    And d-grant has run "rules apply rules.yaml"
    And "deadline_s: 25}" is replaced by "deadline_s: 26}" in the operator's rules.yaml
    When r-campbell runs "rules apply rules.yaml --made-from 1"
    Then the exit code is 3
    And it reports "rules/ranks/ledger-app * * * was changed by d-grant"
    And version 2 is current
    When r-campbell runs "rules apply rules.yaml --made-from 1 --output json"
    Then its JSON has conflicts = [{"key": "rules/ranks/ledger-app * * *", "author": "d-grant"}]
    When r-campbell runs "rules history --output json"
    Then its JSON has versions.0.author = "d-grant"

  Scenario Outline: A change that is not confirmed ends with exit code 4
    # Guards against a refused change that is reported as applied, and against
    # a change that is sent again after a lost response and conflicts with
    # itself.
    Given the node will <behaviour>
    And the node is listed twice
    And "deadline_s: 10" is replaced by "deadline_s: 11" in the operator's rules.yaml
    When r-campbell runs "rules apply rules.yaml --output json"
    Then the exit code is 4
    When r-campbell runs "rules apply rules.yaml"
    Then it <form> "<text>"
    And version <version> is current
    And the change was sent <sends> times

    Examples:
      | behaviour         | form    | text                           | version | sends |
      | refuse            | reports | no majority of members answers | 1       | 4     |
      | lose the response | prints  | version 2 stays in force       | 2       | 1     |
      | time out          | prints  | version 2 stays in force       | 2       | 1     |

  Scenario Outline: A change without a response is read back
    # Guards against an unknown outcome that leaves open whether to send the
    # change again.
    Given the node will <behaviour>
    And "deadline_s: 10" is replaced by "deadline_s: 11" in the operator's rules.yaml
    When r-campbell runs "rules apply rules.yaml"
    Then the exit code is 4
    And it prints "the change is written as version 2"

    Examples:
      | behaviour         |
      | lose the response |
      | time out          |

  Scenario: An unresponsive node results in an unknown outcome
    # Guards against a command that waits forever, and against sending again a
    # change that the unresponsive node may have applied.
    Given an unresponsive address comes first in the list of nodes
    When a change is sent with a timeout of 0.3 s
    Then the outcome is unknown because of a timeout
    And the change was sent 0 times

  Scenario: The next node is tried if one is unreachable
    # Guards against commands that fail while a single node is down.
    Given a closed address comes first in the list of nodes
    And "deadline_s: 10" is replaced by "deadline_s: 11" in the operator's rules.yaml
    When r-campbell runs "rules apply rules.yaml"
    Then the exit code is 0
    And the change was sent 1 times

  Scenario Outline: Each kind of error has its exit code
    # Guards against scripts that mistake an error for success.
    Given <state>
    When <operator> runs "<line>"
    Then the exit code is <code>

    Examples:
      | state                                            | operator   | line                             | code |
      | only a closed address is in the list of nodes    | r-campbell | status                           | 5    |
      | only a closed address is in the list of nodes    | r-campbell | rules apply rules.yaml           | 5    |
      | the node will accept                             | unknown    | status                           | 6    |
      | the node will accept                             | nobody     | status                           | 6    |
      | the node will accept                             | r-campbell | drain no-such-host               | 1    |
      | the node will accept                             | r-campbell | rules apply absent.yaml          | 1    |
      | the node will accept                             | r-campbell | rules apply rules.yaml --made-from x | 2 |
      | the node will accept                             | r-campbell | status --output xml              | 2    |
      | the node will accept                             | r-campbell | check                            | 2    |
      | the node will accept                             | r-campbell | check --settings settings.yaml   | 1    |

  Scenario Outline: Commands print text and JSON
    # Guards against a command whose output a program cannot parse.
    When r-campbell runs "<line>"
    Then the exit code is 0
    And it prints "<text>"
    When r-campbell runs "<line> --output json"
    Then its JSON has <path> = <value>

    Examples:
      | line                                            | text                       | path          | value     |
      | status                                          | id=n1, live=true           | nodes.0.id    | "n1"      |
      | watch --count 2 --interval 0.1                  | version: 1                 | version       | 1         |
      | drain bm-gpu-01                                 | host bm-gpu-01 is leaving  | state         | "leaving" |
      | inventory show                                  | hosts/bm-gpu-01: id=       | document.services.0.name | "quill-llm" |
      | inventory diff mapping.yaml                     | no difference              | difference    | []        |
      | rules check rules.yaml                          | 6 rank rules               | counts.hosts  | 13        |
      | rules check rules.yaml --mapping mapping.yaml   | no problems: 2 services    | problems      | []        |
      | check --mapping mapping.yaml --rules rules.yaml | 13 workers                 | counts.accounts | 5       |

  Scenario: Files with problems are not sent, and the position is printed
    # Guards against applying a change from an invalid file.
    Given "rank: batch" is replaced by "rank: slow" in the operator's rules.yaml
    When r-campbell runs "rules apply rules.yaml"
    Then the exit code is 1
    And it reports "rules.yaml:8: ranks[4].rank: expected urgent, standard or batch"
    And the change was sent 0 times
    When r-campbell runs "check --settings settings.yaml --mapping mapping.yaml --rules rules.yaml --output json"
    Then its JSON has problems.0.field = "ports"
    And its JSON has exit_code = 1

  Scenario: Progress is printed only on a terminal
    # Guards against control characters in the logs of scripts.
    Then progress is printed only on a terminal

  Scenario Outline: An invalid request is answered with problem details
    # Guards against a change through an unauthorised or malformed request.
    When <method> /v1/operator/<path> is requested with <header> and body <body>
    Then the status is <status> and the detail has "<detail>"

    Examples:
      | method | path          | header         | body                                      | status | detail             |
      | PUT    | configuration | none           | {"base_version": 1, "document": DOCUMENT} | 401    | operator token     |
      | PUT    | configuration | Bearer token-x | {"base_version": 1, "document": DOCUMENT} | 401    | operator token     |
      | GET    | status        | Basic token-r  | none                                      | 401    | operator token     |
      | GET    | other         | Bearer token-r | none                                      | 404    | no such path       |
      | POST   | configuration | Bearer token-r | none                                      | 405    | use GET or PUT     |
      | PUT    | configuration | Bearer token-r | {                                         | 400    | not JSON           |
      | PUT    | configuration | Bearer token-r | {"document": DOCUMENT}                    | 400    | base_version       |
      | PUT    | configuration | Bearer token-r | {"base_version": true, "document": {}}    | 400    | expected int       |
      | PUT    | configuration | Bearer token-r | too large                                 | 413    | larger than        |
      | PUT    | configuration | Bearer token-r | {"base_version": 1, "document": {"x": 1}} | 422    | x: Extra inputs    |
      | GET    | history?limit=-1 | Bearer token-r | none                                   | 400    | limit              |
      | POST   | drain         | Bearer token-r | {"host": "none"}                          | 404    | no such host       |

  Scenario: Operator tokens are compared in constant time
    # Guards against timing attacks on tokens.
    Then every digest is compared in constant time

  Scenario: No request raises an exception in the API
    # Guards against a request that terminates the process.
    Then arbitrary requests succeed or get a client error
