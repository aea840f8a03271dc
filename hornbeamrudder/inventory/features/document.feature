Feature: Configuration document

  Scenario: A document is unchanged after a JSON round trip
    # Guards against a field that is lost or changed on the way between nodes.
    Given a valid document
    When it is serialised to JSON and parsed again
    Then both documents are equal

  Scenario: All problems of a document are reported together
    # Guards against reporting only the first problem, so that each attempt
    # reveals the next one, and against references to services or accounts
    # that do not exist.
    Given a valid document
    When these values are set
      | path                    | value                              |
      | surplus                 | 1                                  |
      | hosts.0.workers.0.port  | "80"                               |
      | hosts.0.workers.1.service | "none"                           |
      | services.1.models       | ["m"]                              |
      | hosts.1.id              | "h1"                               |
      | hosts.1.workers.1.ip    | "10.0.0.1"                         |
      | accounts.1.token_sha256 | "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa" |
      | rules.ranks.0.account   | "nobody"                           |
      | rules.ranks.1.service   | "none"                             |
      | rules.floors            | {"standard": 0.7, "batch": 0.6}    |
      | rules.account_weights   | [{"account": "x", "weight": 2}]    |
      | rules.fleet             | [{"service": "none", "offers": [{"machine_class": "g1"}]}, {"service": "llm", "offers": [{"machine_class": "g1"}, {"machine_class": "g1", "model": "x"}]}, {"service": "app", "offers": []}, {"service": "app", "offers": [{"machine_class": "g1"}]}] |
    Then the problems name exactly these fields
      | field                     | reason            |
      | surplus                   | Extra inputs      |
      | hosts[0].workers[0].port  | valid integer     |
      | hosts[0].workers[1].service | unknown service |
      | services[1].models[0]     | duplicate model m |
      | hosts[1].id               | duplicate id h1   |
      | hosts[1].workers[1].port  | duplicate address |
      | accounts[1].token_sha256  | duplicate token   |
      | rules.ranks[0].account    | unknown account   |
      | rules.ranks[1].service    | unknown service   |
      | rules.floors              | add up to 1.3     |
      | rules.account_weights[0].account | unknown account |
      | rules.fleet[0].service    | unknown service   |
      | rules.fleet[1].offers[0].model | needs a model |
      | rules.fleet[1].offers[1].machine_class | duplicate machine class |
      | rules.fleet[1].offers[1].model | no model of service llm |
      | rules.fleet[2].offers     | at least 1 item   |
      | rules.fleet[3].service    | duplicate rule    |

  Scenario Outline: The most specific rank rule applies
    # Guards against a result that depends on the order of the rules.
    Given a valid document
    Then <account> on <service> <method> <path> is <rank> within <deadline> s

    Examples:
      | account | service | method | path          | rank     | deadline |
      | a1      | llm     | POST   | /v1/plans     | batch    | 60       |
      | a1      | llm     | POST   | /v1/plans-old | urgent   | 2        |
      | a2      | llm     | POST   | /v1/plans     | batch    | 50       |
      | a2      | app     | GET    | /lookup       | standard | 30       |

  Scenario Outline: Non-idempotent calls are recognised in any spelling
    # Guards against running an order twice because its path is encoded.
    Given a valid document
    Then <method> <path> on app is idempotent: <idempotent>

    Examples:
      | method | path               | idempotent |
      | POST   | /orders            | no         |
      | post   | //orders/./new?x=1 | no         |
      | POST   | /%6frders          | no         |
      | GET    | /orders            | yes        |
      | POST   | /orders-old        | yes        |

  Scenario: Workers and accounts are returned as core types
    # Guards against a caller with an unknown digest that gets an account.
    Given a valid document
    Then worker w1 is at 10.0.0.1:80 in data centre dc-1
    And the account of digest a*64 has weight 4
    And the account of digest f*64 is absent

  Scenario: No JSON value raises an exception in the parser
    # Guards against operator input that terminates the process.
    Then arbitrary and modified documents are parsed without an exception
