Feature: Stand-ins for external systems, accessed through the production clients

  Scenario: A retried start order whose first response is lost starts one host
    # Guards against paying for two hosts when a start order is retried.
    Given a cloud stand-in
    When a response is dropped and the start order "order-1" is sent twice
    Then the first call is interrupted and the second names the only host

  Scenario: Start orders with different ids start two hosts
    # Control for the scenario above: the order id prevents the second host.
    Given a cloud stand-in
    When a response is dropped and start orders "order-1" and "order-2" are sent
    Then the cloud stand-in runs 2 hosts

  Scenario: A refused start is distinguished from an outage
    # Guards against trying other zones while the whole cloud API is down.
    Given a cloud stand-in
    Then a start in a refused zone fails as "refused" and in an outage as "unavailable"

  Scenario: The reclaim of a zone sends a notice for each of its hosts
    # Guards against a stand-in that sends notices for only some hosts.
    Given a cloud stand-in
    When two hosts run in "levis-est" and one in "foy-centre"
    And zone "levis-est" is reclaimed with 4 seconds of notice
    Then there are 2 notices with at most 4 seconds left
    And no notices are returned after number 2

  Scenario: The host list shows a reclaim only after its configured lag
    # Guards against tests in which the host list is never stale.
    Given a cloud stand-in and a host list that lags by 0.6 seconds
    When a listed host is reclaimed
    Then the host list shows it as live until the lag has passed, then as leaving

  Scenario: Concurrent downloads share the bandwidth of the weight store
    # Guards against placement that assumes full bandwidth for each download.
    Given a weight store with 100 bytes per second and up to 2 concurrent downloads
    Then downloads of 200 bytes take 2 and 4 seconds and a third is refused

  Scenario: Stored objects are immutable
    # Guards against reading an object that a second write has replaced.
    Given an object store
    Then an object is read by its digest and overwrites and altered content are rejected

  Scenario: An engine loads a model and changes its role as ordered
    # Guards against testing the fleet only with engines that apply every order
    # immediately.
    Given a weight store with 400 bytes per second and up to 2 concurrent downloads
    And an engine that checks fencing and has the model "base"
    When it is ordered to serve "quill" as "decode" with fencing number 7
    Then it loads "quill" and still serves "base"
    And it refuses an order for another model while loading
    And it serves "quill" as "decode" after the download
    And it refuses an expired order and an order with fencing number 6
    When it is ordered to serve "base" as "prefill" with fencing number 7
    Then it serves "base" as "prefill" immediately

  Scenario: An engine without fencing checks accepts a stale order
    # Control for the scenario above: the setting causes the refusal.
    Given a weight store with 400 bytes per second and up to 2 concurrent downloads
    And an engine that ignores fencing and has the model "base"
    When it is ordered to serve "base" as "decode" with fencing number 7
    And it is ordered to serve "base" as "both" with fencing number 6
    Then it serves "base" as "both" immediately

  Scenario: A failed download leaves the engine state unchanged
    # Guards against an engine that reports weights it never received.
    Given a weight store with 400 bytes per second and up to 2 concurrent downloads
    And an engine that checks fencing and has the model "base"
    When it is ordered to serve "absent" as "both" with fencing number 1
    Then it serves "base" as "both" after the download

  Scenario: The cloud API returns addresses of started hosts and keeps records
    # Guards against nodes that never get the address of a started host, and
    # against treating an unknown host as a terminated one.
    Given a cloud stand-in with the address 10.0.0.9:80 for 1 host of quill-llm
    When two hosts run in "levis-est" and one in "foy-centre"
    Then the first host has this address and the others have no address
    And a stopped host is recorded as gone and an unknown one is not found
