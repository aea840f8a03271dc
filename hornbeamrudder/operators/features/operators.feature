Feature: Operator commands and API

  Background:
    Given a node with the example configuration

  Scenario: An applied change is shown with nodes and seconds
    # Guards against an operator who does not know what changed or whether it
    # is in force.
    Given "rank: urgent, deadline_s: 5" is replaced by "rank: urgent, deadline_s: 6" in the operator's rules.yaml
    When r-campbell runs "rules apply rules.yaml"
    Then the exit code is 0
    And it prints "~ rules/ranks/quill-llm buyers-counter * * deadline_s: 5.0 -> 6.0"
    And it prints "version 2 is in force on 2 nodes after 0.75 s"
    When r-campbell runs "rules apply rules.yaml --output json"
    Then its JSON has difference = []
    And version 2 is current

  Scenario: An import keeps the rules in force
    # Guards against an import that reverts rules, or applies without a record
    # of its author.
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

  Scenario: Racing operators get a conflict with keys and authors
    # Guards against an edit that silently reverts another operator's edit.
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
    # Guards against a refusal that looks like success, and against a change
    # that is sent again after a lost answer and conflicts with itself.
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
      | behaviour       | form    | text                           | version | sends |
      | refuse          | reports | no majority of members answers | 1       | 4     |
      | lose the answer | prints  | version 2 stays in force       | 2       | 1     |
      | time out        | prints  | version 2 stays in force       | 2       | 1     |

  Scenario Outline: A change without an answer is read back
    # Guards against an operator who cannot tell whether to send it again.
    Given the node will <behaviour>
    And "deadline_s: 10" is replaced by "deadline_s: 11" in the operator's rules.yaml
    When r-campbell runs "rules apply rules.yaml"
    Then the exit code is 4
    And it prints "the change is written as version 2"

    Examples:
      | behaviour       |
      | lose the answer |
      | time out        |

  Scenario: A silent node ends the wait with an unknown outcome
    # Guards against a command that waits without end, and against a second
    # send of a change that the silent node may have taken.
    Given a silent address comes first in the list of nodes
    When a change is sent with a time limit of 0.3 s
    Then the outcome is unknown because of a timeout
    And the change was sent 0 times

  Scenario: The next node is tried when one is not reachable
    # Guards against operators who cannot work while one node is down.
    Given a closed address comes first in the list of nodes
    And "deadline_s: 10" is replaced by "deadline_s: 11" in the operator's rules.yaml
    When r-campbell runs "rules apply rules.yaml"
    Then the exit code is 0
    And the change was sent 1 times

  Scenario Outline: Each kind of error has its exit code
    # Guards against scripts that take an error for success.
    Given <state>
    When <operator> runs "<line>"
    Then the exit code is <code>

    Examples:
      | state                                            | operator   | line                             | code |
      | only a closed address is in the list of nodes    | r-campbell | status                           | 5    |
      | only a closed address is in the list of nodes    | r-campbell | rules apply rules.yaml           | 5    |
      | the node will accept                             | stranger   | status                           | 6    |
      | the node will accept                             | nobody     | status                           | 6    |
      | the node will accept                             | r-campbell | drain no-such-host               | 1    |
      | the node will accept                             | r-campbell | rules apply absent.yaml          | 1    |
      | the node will accept                             | r-campbell | rules apply rules.yaml --made-from x | 2 |
      | the node will accept                             | r-campbell | status --output xml              | 2    |
      | the node will accept                             | r-campbell | check                            | 2    |
      | the node will accept                             | r-campbell | check --settings settings.yaml   | 1    |

  Scenario Outline: Commands print text and JSON
    # Guards against a command whose output a program cannot read.
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

  Scenario: Problems in files are printed with their place and not sent
    # Guards against a change that is applied although a file is faulty.
    Given "rank: batch" is replaced by "rank: slow" in the operator's rules.yaml
    When r-campbell runs "rules apply rules.yaml"
    Then the exit code is 1
    And it reports "rules.yaml:8: ranks[4].rank: expected urgent, standard or batch"
    And the change was sent 0 times
    When r-campbell runs "check --settings settings.yaml --mapping mapping.yaml --rules rules.yaml --output json"
    Then its JSON has problems.0.field = "ports"
    And its JSON has exit_code = 1

  Scenario: Progress of a wait
    # Guards against control characters in the log of a script.
    Then the progress of a wait is shown only on a terminal

  Scenario Outline: A wrong request gets problem details and changes nothing
    # Guards against a change by a stranger or by a malformed request.
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
    # Guards against a token that can be guessed from response times.
    Then every digest is compared in constant time

  Scenario: No request makes the API raise
    # Guards against a request that terminates a process.
    Then arbitrary requests get a client error or an answer
