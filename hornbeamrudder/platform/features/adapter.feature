Feature: The adapter translates the platform's names

  Scenario: A settings file of the platform is decoded
    # Guards against a node that starts with addresses or bounds of its own.
    When the settings file of the platform is read
    Then addresses, ports and bounds are those of the file

  Scenario Outline: A malformed settings file names what is wrong
    # Guards against a process that ends with a trace instead of a reason.
    When "<field>" is missing in the settings file
    Then the failure names "<name>"

    Examples:
      | field                 | name       |
      | node                  | node       |
      | listen                | listen     |
      | platform              | platform   |
      | internalPorts         | internalPorts |

  Scenario: The command line checks a settings file of the platform
    When the command line checks a whole and a malformed settings file
    Then it accepts the first and names the field of the second

  Scenario Outline: An entry of another writer names no backend server
    # Guards against a watch that ends at an entry that can't be read.
    When an entry has "<field>" set to <value>
    Then it names no backend server

    Examples:
      | field   | value       |
      | service | 7           |
      | address | "nowhere"   |
      | zone    | null        |
      | state   | "sleeping"  |
      | slots   | "many"      |
      | slots   | true        |
      | slots   | 0           |

  Scenario: A reclaimed backend server says when it ends
    When an entry says "draining" with 2500 ms left on a reclaimable server
    Then the backend server is leaving in 2.5 s and reclaimable

  Scenario: The operator's configuration is decoded
    # Guards against the wrong route, limit or rank for a request.
    When the configuration of the stand-in is decoded
    Then the longest prefix wins and the rest is as the operator says

  Scenario Outline: A malformed configuration is refused whole
    When "<field>" is missing in a route of the configuration
    Then the configuration is refused

    Examples:
      | field  |
      | host   |
      | prefix |
      | kind   |

  Scenario: Rows that can't be decoded have no value
    # Guards against a store client that fails on another writer's bytes.
    When rows hold bytes that are not JSON, and removed rows
    Then their values are absent and the others are whole
