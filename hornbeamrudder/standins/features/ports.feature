Feature: Ports that tests choose before their processes start

  # Tests run side by side and choose ports some time before a process listens
  # on them. A port that is chosen twice fails one of the tests with "Address
  # already in use".

  Scenario: Processes that run at the same time reserve different ports
    When 6 processes reserve 5 of 60 ports each and keep running
    Then no port is reserved twice

  Scenario: A process that reserves ports several times gets different ports
    When a process reserves 5 of 60 ports 4 times
    Then no port is reserved twice

  Scenario: Ports of a process that ended can be reserved again
    When a process that reserved 5 of 60 ports ends
    Then another process can reserve these 5 ports

  Scenario Outline: A port that another program uses is not reserved
    When another program uses a port for <protocol>
    Then reserving that port fails as "0 of 1 ports are free"

    Examples:
      | protocol |
      | TCP      |
      | UDP      |
