Feature: Platform adapter

  Scenario: A settings file of the platform is decoded
    # Guards against a node that starts with default addresses or bounds
    # instead of those configured.
    When the platform's settings file is loaded
    Then addresses, ports and bounds match the file

  Scenario Outline: A missing settings field is reported by name
    # Guards against a process that exits with a stack trace instead of an
    # error message.
    When "<field>" is missing in the settings file
    Then the failure names "<name>"

    Examples:
      | field                 | name       |
      | node                  | node       |
      | listen                | listen     |
      | platform              | platform   |
      | internalPorts         | internalPorts |

  Scenario: The check command validates a settings file of the platform
    When the check command is run on a valid and on an invalid settings file
    Then it accepts the first and names the invalid field of the second

  Scenario Outline: A malformed registration entry is rejected
    # Guards against a watch that stops at an entry it can't decode.
    When an entry has "<field>" set to <value>
    Then decoding the entry fails

    Examples:
      | field   | value       |
      | service | 7           |
      | address | "nowhere"   |
      | zone    | null        |
      | state   | "sleeping"  |
      | slots   | "many"      |
      | slots   | true        |
      | slots   | 0           |

    Examples: values out of range
      | field           | value                  |
      | address         | "10.0.0.1:99999"       |
      | address         | "10.0.0.1:65536"       |
      | address         | "10.0.0.1:0"           |
      | address         | "10.0.0.1:-1"          |
      | address         | "10.0.0.1:"            |
      | address         | "10.0.0.300:80"        |
      | address         | "host.example:80"      |
      | address         | "10.0.0.1\u0000:80"    |
      | slots           | 1e300                  |
      | slots           | 1000000000000000000000 |
      | born            | 1180591620717411303424 |
      | born            | 1e300                  |
      | born            | 1e400                  |
      | born            | -1                     |
      | born            | "now"                  |
      | coldRemainingMs | 1e400                  |
      | coldRemainingMs | -1e400                 |
      | leaves_ms       | 1e400                  |
      | leaves_ms       | []                     |

  Scenario: The entry of a reclaimed backend server has its remaining time
    When the entry of a reclaimable server is "draining" with 2500 ms left
    Then the backend server is leaving in 2.5 s and reclaimable

  Scenario: The operator's configuration is decoded
    # Guards against the wrong route, limit or rank for a request.
    When the stand-in's configuration is decoded
    Then the longest prefix matches and all other fields are as configured

  Scenario Outline: A configuration with a malformed route is rejected
    When "<field>" is missing in a route of the configuration
    Then the whole configuration is rejected

    Examples:
      | field  |
      | host   |
      | prefix |
      | kind   |

  Scenario: Rows that can't be decoded have no value
    # Guards against a store client that fails on invalid rows written by
    # other programs.
    When a valid row, rows with invalid values and a removed row are decoded
    Then only the valid row has a value

  Scenario Outline: The load of a backend server is decoded from its header
    # Guards against ignoring the load, or how slow the server's host is, if
    # the header has a fourth figure or one that is malformed.
    When a response has the load header "<header>"
    Then its load is <load> and its host takes <work> times as long as usual

    Examples:
      | header      | load  | work    |
      | 3,0,8       | 3,0,8 | unknown |
      | 3, 1, 8     | 3,1,8 | unknown |
      | 3,0,8,250   | 3,0,8 | 2.5     |
      | 3,0,8,80,7  | 3,0,8 | 0.8     |
      | 3,0,8,      | 3,0,8 | unknown |
      | 3,0,8,fast  | 3,0,8 | unknown |
      | 3,0,8,0     | 3,0,8 | unknown |
      | 3,0         | none  | unknown |
      | three,0,8   | none  | unknown |
      | none        | none  | unknown |
