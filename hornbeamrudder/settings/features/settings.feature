Feature: Settings of a node

  Scenario Outline: An invalid setting is reported with its line and field
    # Guards against a daemon that starts with unintended settings.
    Given a settings file with "<line>" as line 6
    Then loading it reports line 6 and "<field>"

    Examples:
      | line                            | field       |
      | colour: red                     | colour      |
      | log_level: loud                 | log_level   |
      | limits: {threads: 1}            | limits      |
      | stop_timeout_s: .nan            | stop_timeo  |
      | seeds: [{ip: localhost, port: 1}] | seeds.0.ip  |
      | fleet_control: true             | fleet_contr |

  Scenario: Loading a settings file never raises
    # Guards against an exception on a corrupt or malicious settings file.
    Then loading arbitrary bytes returns settings or problems

  Scenario: A renewed certificate is used without a restart
    # Guards against an outage when a certificate expires.
    Given a caller server with TLS and a certificate for "one.example"
    When the certificate is replaced by one for "two.example"
    Then a new connection receives the certificate for "two.example"
    And a previously opened connection still works

  Scenario: A certificate that does not match its key is not used
    # Guards against failure of all handshakes while a new certificate and key
    # are only partly written.
    Given a caller server with TLS and a certificate for "one.example"
    When only the key is replaced
    Then a new connection receives the certificate for "one.example"

  Scenario: The committed reference of the settings is up to date
    # Guards against a page that lists outdated keys, defaults or limits.
    Then docs/settings.md equals the output of `hornbeamrudder reference`
    And every key of the node settings has a description
