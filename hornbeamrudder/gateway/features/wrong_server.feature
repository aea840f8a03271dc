Feature: Requests to an address that another backend server has taken over

  Scenario Outline: The other server runs nothing
    # Guards against requests run by a service or version to which no
    # configuration allows them to go, on each path on which one is sent. First
    # tries elsewhere are in failover.feature, moved runs in
    # moved_runs.feature.
    When another server has the address of one on "<route>", reached by <path>
    Then the other server was reached and ran nothing
    And each request is served whole

    Examples: requests that may be sent again
      | route | path              |
      | look  | a first send      |
      | plan  | a first send      |
      | look  | a kept connection |
      | plan  | a resumption      |

  Scenario Outline: A request that may be sent once is not reported as run
    # Guards against errors that promise nothing, for requests that have not
    # run.
    When another server has the address of one on "<route>", reached by a first send
    Then the other server was reached and ran nothing
    And each request is served whole, or refused as not run

    Examples:
      | route |
      | book  |
      | chat  |
