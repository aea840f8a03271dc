Feature: Settings of a node

  Scenario Outline: A mistake in a settings file is told with its place
    # Guards against a daemon that starts with settings nobody meant.
    Given a settings file with "<line>" as line 6
    Then loading it tells line 6 and "<field>"

    Examples:
      | line                            | field       |
      | colour: red                     | colour      |
      | log_level: loud                 | log_level   |
      | limits: {threads: 1}            | limits      |
      | stop_timeout_s: .nan            | stop_timeo  |
      | seeds: [{ip: localhost, port: 1}] | seeds.0.ip  |
      | fleet_control: true             | fleet_contr |

  Scenario: No file ends the loading
    # Guards against an exception on a damaged or hostile settings file.
    Then any bytes give settings or problems

  Scenario: A renewed certificate is used without a restart
    # Guards against an outage at the end of a certificate's life.
    Given a caller server with TLS and a certificate for "one.example"
    When the certificate is replaced by one for "two.example"
    Then a new connection is shown the certificate of "two.example"
    And a connection opened before goes on

  Scenario: A certificate that does not match its key is not used
    # Guards against a half written pair that ends all handshakes.
    Given a caller server with TLS and a certificate for "one.example"
    When the key alone is replaced
    Then a new connection is shown the certificate of "one.example"

  Scenario: The committed reference of the settings is up to date
    # Guards against a page that names keys, defaults or limits which the
    # code has changed since.
    Then docs/settings.md is what `hornbeamrudder reference` prints
    And every key of the node settings has a meaning
