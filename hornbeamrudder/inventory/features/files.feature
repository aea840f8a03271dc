Feature: Register and rules files

  Scenario Outline: The example registers are read without conversion
    # Guards against a register format that the mapping cannot express.
    Given a copy of the example "<firm>"
    When the files are checked
    Then the document has 13 hosts, 13 workers, 2 services and 5 accounts
    And worker <worker> costs <price> an hour and checks fencing: <fencing>

    Examples:
      | firm       | worker    | price | fencing |
      | beaudoin   | bd-gpu-01 | 2.40  | yes     |
      | blue-mahoe | quill-03  | 0.62  | no      |

  Scenario: All problems of all files are reported together with position
    # Guards against files that are applied in part, and against problems
    # without the position at which to correct them.
    Given a copy of the example "blue-mahoe"
    When these texts are replaced
      | file          | old                             | new                               |
      | hosts.csv     | gpu-24g,spot,0.62,active        | gpu-24g,spot,cheap,active         |
      | hosts.csv     | bm-gpu-09,                      | bm-gpu-08,                        |
      | hosts.csv     | kingston-a,cpu-4,spot,0.05      | kingston-a,cpu-4,lent,0.05        |
      | processes.csv | quill-04,bm-gpu-04              | quill-04,bm-gpu-77                |
      | processes.csv | 10.30.1.14,8100                 | 10.30.1.10,8100                   |
      | processes.csv | 10.30.3.42,8200,32              | 10.30.3.42,82000,                 |
      | processes.csv | 10.30.4.17,8100,16,yes          | 10.30.4.17,8100,16                |
      | services.yaml | [quill-8b]                      | {quill-8b: 1}                     |
      | accounts.csv  | workshop,                       | work shop,                        |
      | rules.yaml    | buyers-counter, rank: urgent    | buyers-desk, rank: urgent         |
      | rules.yaml    | path_prefix: /notes, rank       | path_prefix: notes, rank          |
      | rules.yaml    | {standard: 0.15, batch: 0.05}   | {standard: 0.95, batch: 0.1}      |
      | rules.yaml    | order_retention_s               | order_retention                   |
    And the files are checked
    Then exactly these problems are found
      | file          | line | field                         | reason                     |
      | hosts.csv     | 2    | usd_per_hour                  | 'cheap' is not a number    |
      | hosts.csv     | 10   | asset_tag                     | duplicate id bm-gpu-08     |
      | hosts.csv     | 11   | contract                      | 'reclaimable' or           |
      | processes.csv | 5    | asset_tag                     | unknown host 'bm-gpu-77'   |
      | processes.csv | 6    | port                          | duplicate address          |
      | processes.csv | 9    | row                           | 6 cells, 7 expected        |
      | processes.csv | 10   | asset_tag                     | unknown host 'bm-gpu-09'   |
      | processes.csv | 13   | port                          | less than or equal         |
      | processes.csv | 13   | slots                         | is empty                   |
      | services.yaml | 4    | models                        | single value or a list     |
      | accounts.csv  | 6    | account                       | match pattern              |
      | rules.yaml    | 4    | ranks[0].account              | unknown account            |
      | rules.yaml    | 8    | ranks[4].path_prefix          | match pattern              |
      | rules.yaml    | 12   | floors                        | add up to 1.05             |
      | rules.yaml    | 19   | order_retention               | Extra inputs               |

  Scenario Outline: An invalid file is rejected with the line of the problem
    # Guards against YAML that expands without bound, silently drops a key or
    # converts text to an unintended number, and against unmapped columns.
    Given a copy of the example "blue-mahoe"
    When "<old>" is replaced by "<new>" in <file>
    And the files are checked
    Then the first problem is at <place> line <line>, field <field>: <reason>

    Examples:
      | file         | old            | new               | place        | line | field               | reason                  |
      | rules.yaml   | ranks:         | ranks: &a         | rules.yaml   | 12   | document            | alias *a                |
      | rules.yaml   | deadline_s: 25 | deadline_s: 1:25  | rules.yaml   | 6    | ranks[2].deadline_s | '1:25' is not a decimal |
      | rules.yaml   | default_rank:  | floors:           | rules.yaml   | 12   | floors              | duplicate key, first on |
      | rules.yaml   | rank: batch    | rank: [batch      | rules.yaml   | 8    | document            | not YAML                |
      | rules.yaml   | standard: 0.15 | standard: !x 0.15 | rules.yaml   | 12   | floors.standard     | unsupported YAML type   |
      | mapping.yaml | asset_tag      | tag_of_asset      | hosts.csv    | 1    | tag_of_asset        | column is missing       |
      | mapping.yaml | port: port     | ports: port       | mapping.yaml | 27   | sources[4]          | unknown fields ports    |
      | mapping.yaml | hosts.csv      | absent.csv        | absent.csv   | 1    | file                | is absent               |
      | hosts.csv    | status         | site,status       | hosts.csv    | 1    | site                | more than once          |
      | accounts.csv | workshop       | work\xffshop      | accounts.csv | 6    | file                | not valid utf-8         |
      | accounts.csv | workshop,      | "workshop,        | accounts.csv | 6    | row                 | not CSV                 |
      | rules.yaml | ranks: | ranks: [[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[ | rules.yaml | 3 | document | nested more than |

  Scenario Outline: An unreadable file causes no consequential problems
    # Guards against thousands of unknown references that hide the problem
    # that caused them.
    Given a copy of the example "blue-mahoe"
    When "<old>" is replaced by "<new>" in <file>
    And the files are checked
    Then the only problem is at <file>

    Examples:
      | file          | old        | new             |
      | services.yaml | services:  | services: [     |
      | accounts.csv  | token_sha  | digest_of_token |
      | hosts.csv     | asset_tag  | tag             |
      | rules.yaml    | ranks:     | ranks: [        |
      | mapping.yaml  | hosts.csv  | absent.csv      |

  Scenario: A file with too many rows is rejected
    # Guards against a small file that results in a very large document.
    Given a copy of the example "blue-mahoe"
    When accounts.csv gets one row too many
    And the files are checked
    Then the first problem is at accounts.csv line 100002, field row: more than 100000 rows

  Scenario Outline: A file above the size limit is rejected
    # Guards against input that exhausts the memory.
    Given a copy of the example "blue-mahoe"
    When <file> grows above the size limit
    And the files are checked
    Then the first problem is at <file> line 1, field file: is larger than

    Examples:
      | file         |
      | accounts.csv |
      | rules.yaml   |

  Scenario: Rows that describe the same entry must agree
    # Guards against contradictory rows that go unnoticed.
    Given a copy of the example "beaudoin"
    When "entries: hosts" is replaced by "entries: hosts\n    repeated: true" in mapping.yaml
    And "bd-gpu-02;beauport-n;gpu-moyen" is replaced by "bd-gpu-01;beauport-n;gpu-moyen" in registre.csv
    And the files are checked
    Then the first problem is at registre.csv line 3, field Centre: differs from line 2

  Scenario: A change of rules keeps the inventory and is listed by key
    # Guards against a change of rules that reverts the inventory, and against
    # a difference that omits a change.
    Given a copy of the example "blue-mahoe"
    When the files are checked
    And these texts are replaced
      | file       | old                                 | new                                  |
      | rules.yaml | buyers-counter, rank: urgent, deadline_s: 5 | buyers-counter, rank: urgent, deadline_s: 6 |
      | rules.yaml | path_prefix: /quotations            | path_prefix: /quotes                 |
    And only the rules are checked against the document
    Then the difference is
      """
      - rules/non_idempotent/ledger-app POST /quotations: service=ledger-app, method=POST, path_prefix=/quotations
      + rules/non_idempotent/ledger-app POST /quotes: service=ledger-app, method=POST, path_prefix=/quotes
      ~ rules/ranks/quill-llm buyers-counter * * deadline_s: 5.0 -> 6.0
      """

  Scenario: No file content raises an exception in the check
    # Guards against a traceback instead of a list of problems.
    Then arbitrary and modified files give a document or complete problems
