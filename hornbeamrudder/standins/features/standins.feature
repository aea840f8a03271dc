Feature: Stand-ins of outside systems, met through the platform's clients

  Scenario: A start order whose answer is lost starts one host
    # Guards against paying for two hosts when an order is sent again.
    Given a cloud stand-in
    When an answer is dropped and the start order "order-1" is sent twice
    Then the first call is interrupted and the second names the only host

  Scenario: Start orders with different ids start two hosts
    # Shows that the order id is what prevents the second host above.
    Given a cloud stand-in
    When an answer is dropped and start orders "order-1" and "order-2" are sent
    Then the cloud stand-in runs 2 hosts

  Scenario: A refused start is told apart from an outage
    # Guards against trying another zone during an outage of the cloud API.
    Given a cloud stand-in
    Then a start in a refused zone fails as "refused" and in an outage as "unavailable"

  Scenario: The reclaim of a zone gives a notice for each of its hosts
    # Guards against a stand-in that announces only some of the hosts.
    Given a cloud stand-in
    When two hosts run in "levis-est" and one in "foy-centre"
    And zone "levis-est" is reclaimed with 4 seconds of notice
    Then there are 2 notices with at most 4 seconds left
    And no notice is sent again to a reader who knows number 2

  Scenario: The host list shows a reclaim only after its lag
    # Guards against tests in which the host list is never stale.
    Given a cloud stand-in and a host list that lags by 0.6 seconds
    When a listed host is reclaimed
    Then the host list shows it as live first and as leaving later

  Scenario: Concurrent downloads share the rate of the weight store
    # Guards against plans that assume the full rate for each download.
    Given a weight store with a rate of 100 bytes per second and 2 downloads at once
    Then downloads of 200 bytes take 2 and 4 seconds and a third is refused

  Scenario: Objects keep their content
    # Guards against reading an object that a second write has replaced.
    Given an object store
    Then an object can be read by its digest, and not be replaced or altered
