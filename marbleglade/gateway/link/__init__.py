"""Links between gateways of two regions; the gateway that connects sends requests, the other one responds.

`frames` and `messages` are the codec, `flow_control` decides what is written next, and `connection` runs one
connection on either side. On the requesting side, `links` holds the state of all links to a region, `dialer`
connects them, and `state_receiver` and `response_receiver` handle the messages received. `recovery` decides,
without I/O, how a request continues after a disconnection or a response.
"""
