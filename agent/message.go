package agent

import "google.golang.org/protobuf/proto"

// message is any protobuf message.
type message = proto.Message
