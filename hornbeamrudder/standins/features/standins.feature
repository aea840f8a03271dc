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

  Scenario: An engine loads a model and changes its role by order
    # Guards against a fleet that is only tested against engines that take
    # every order at once.
    Given a weight store with a rate of 400 bytes per second and 2 downloads at once
    And an engine that checks fencing and has the model "base"
    When it is ordered to serve "quill" as "decode" under number 7
    Then it loads "quill" and serves "base" meanwhile
    And it refuses an order for another model during the load
    And it serves "quill" as "decode" after the time of the download
    And it refuses an expired order and one under number 6
    When it is ordered to serve "base" as "prefill" under number 7
    Then it serves "base" as "prefill" at once

  Scenario: An engine that ignores fencing takes a stale order
    # Shows that the setting of the stand-in decides the refusal above.
    Given a weight store with a rate of 400 bytes per second and 2 downloads at once
    And an engine that ignores fencing and has the model "base"
    When it is ordered to serve "base" as "decode" under number 7
    And it is ordered to serve "base" as "both" under number 6
    Then it serves "base" as "both" at once

  Scenario: A failed download leaves the engine as it was
    # Guards against an engine that claims weights which it never received.
    Given a weight store with a rate of 400 bytes per second and 2 downloads at once
    And an engine that checks fencing and has the model "base"
    When it is ordered to serve "absent" as "both" under number 1
    Then it serves "base" as "both" after the time of the download

  Scenario: The cloud API tells addresses of started hosts and keeps records
    # Guards against nodes that never learn where a started host serves, and
    # against taking an unknown host for one that has ended.
    Given a cloud stand-in with the address 10.0.0.9:80 for 1 host of quill-llm
    When two hosts run in "levis-est" and one in "foy-centre"
    Then the first host has this address and the others have none
    And a stopped host is recorded as gone and an unknown one is not found
